package etcd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/stream"
)

// Watch calls notify for each change of a key that begins with prefix, starting with
// the first revision after the given one. It returns nil when ctx is done, and an
// error if the watch fails. Each watch uses a connection of its own, which is closed
// at the end of the watch.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, notify func(lacewingramp.Change)) error {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	in := WatchRequest{Create: WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: after + 1,
	}}
	resp, err := c.post(ctx, &http.Client{Transport: transport}, "/v3/watch", in)
	if err != nil {
		return classifyError(err, false)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return lacewingramp.ErrUnreachable
	}
	return readEvents(ctx, resp.Body, notify)
}

func readEvents(ctx context.Context, body io.Reader, notify func(lacewingramp.Change)) error {
	reader := &stream.Reader{Reader: body, Max: maxResponseBytes}
	decoder := json.NewDecoder(reader)
	for {
		reader.Next()
		var message WatchMessage
		if err := decoder.Decode(&message); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return classifyError(err, false)
		}
		if message.Result.Canceled {
			return lacewingramp.ErrUnreachable
		}
		for _, e := range message.Result.Events {
			notify(lacewingramp.Change{KeyValue: e.Pair.toKeyValue(), Deleted: e.Type == EventDelete})
		}
	}
}
