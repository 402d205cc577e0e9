package edge

import (
	"net"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Parts of the time that a stop may take.
const (
	// acceptPart is how long callers that hold an older look-up are served.
	acceptPart = 0.3
	// finishPart is when the process ends at the latest.
	finishPart = 0.95
)

// stop ends serving without cutting a request: callers are sent elsewhere,
// every answer ends its connection, and what has been read is answered.
func (e *Edge) stop(callers net.Listener) {
	begun := e.Timer.Now()
	e.ending.Store(true)
	e.Log.Info().Int("connections", e.server.Open()).Msg("stopping")
	e.mu.Lock()
	h := e.heartbeat(begun)
	addresses := e.roll.Addresses()
	e.mu.Unlock()
	if err := e.socket.Send(&lacewingramp.Datagram{Heartbeat: h}, addresses); err != nil {
		e.Log.Error().Err(err).Msg("could not send the last heartbeat")
	}
	e.server.Drain()
	time.Sleep(time.Duration(float64(e.Stop) * acceptPart))
	_ = callers.Close()
	e.server.Drain()
	done := make(chan struct{})
	go func() {
		e.server.Wait()
		close(done)
	}()
	left := time.Duration(float64(e.Stop)*finishPart) - e.Timer.Now().Sub(begun)
	select {
	case <-done:
		// The last answers are on their way.
		time.Sleep(flushTime)
	case <-time.After(left):
	}
	e.Log.Info().Int("connections", e.server.Open()).Dur("took", e.Timer.Now().Sub(begun)).Msg("stopped")
}

// flushTime lets the last answers reach their callers.
const flushTime = 100 * time.Millisecond
