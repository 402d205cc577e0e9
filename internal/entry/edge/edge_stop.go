package edge

import (
	"net"
	"time"

	"lacewingramp.example/lacewingramp"
)

// Fractions of StopTimeout, counted from the stop signal.
const (
	// acceptFraction is how long new connections are still accepted from callers that
	// have cached an older lookup.
	acceptFraction = 0.3
	// sendFraction is how long requests are still sent to targets. Those that are sent
	// later may not end in time.
	sendFraction = 0.5
	// finishFraction is when the instance stops, even if requests are still running.
	finishFraction = 0.95
)

// stop drains the instance. It tells the peers that this instance is leaving,
// closes each caller's connection after its response, and waits for the responses to
// all requests that were read.
func (e *Edge) stop(callerListener net.Listener) {
	startedAt := e.Timer.Now()
	e.stopping.Store(true)
	sendUntil := startedAt.Add(time.Duration(float64(e.StopTimeout) * sendFraction))
	e.sendUntil.Store(&sendUntil)
	e.Log.Info().Int("connections", e.server.OpenConnections()).Msg("stopping")
	e.mu.Lock()
	h := e.newHeartbeat(startedAt)
	addresses := e.peers.Addresses()
	e.mu.Unlock()
	if err := e.socket.Send(&lacewingramp.Datagram{Heartbeat: h}, addresses); err != nil {
		e.Log.Error().Err(err).Msg("could not send the last heartbeat")
	}
	e.server.Drain()
	e.relayServer.Drain()
	time.Sleep(time.Duration(float64(e.StopTimeout) * acceptFraction))
	_ = callerListener.Close()
	e.server.Drain()
	done := make(chan struct{})
	go func() {
		e.server.Wait()
		e.relayServer.Wait()
		close(done)
	}()
	left := time.Duration(float64(e.StopTimeout)*finishFraction) - e.Timer.Now().Sub(startedAt)
	select {
	case <-done:
		// The last responses may still be in transit.
		time.Sleep(flushDelay)
	case <-time.After(left):
	}
	e.Log.Info().Int("connections", e.server.OpenConnections()).Dur("took", e.Timer.Now().Sub(startedAt)).Msg("stopped")
}

// mayNotEnd reports whether the stop has come so far that a request sent to a target now may
// not end before the instance does.
func (e *Edge) mayNotEnd() bool {
	until := e.sendUntil.Load()
	return until != nil && !e.Timer.Now().Before(*until)
}

// stoppingRetryAfter is the delay after which a caller that an instance refuses as it stops
// may retry, at another one.
const stoppingRetryAfter = 100 * time.Millisecond

// flushDelay lets the last responses reach their callers.
const flushDelay = 100 * time.Millisecond
