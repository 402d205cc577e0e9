package etcd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"lacewingramp.example/lacewingramp"
)

// Watch calls notify for each change, after a revision, of the keys that begin with
// prefix, until ctx is done. Each watch uses a connection of its own, which is
// closed at the end of the watch.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, notify func(lacewingramp.Change)) error {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	defer t.CloseIdleConnections()
	in := WatchRequest{Create: WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: after + 1,
	}}
	resp, err := c.post(ctx, &http.Client{Transport: t}, "/v3/watch", in)
	if err != nil {
		return callError(err, false)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return lacewingramp.ErrUnreachable
	}
	return readEvents(ctx, json.NewDecoder(resp.Body), notify)
}

func readEvents(ctx context.Context, d *json.Decoder, notify func(lacewingramp.Change)) error {
	for {
		var m WatchMessage
		if err := d.Decode(&m); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return callError(err, false)
		}
		if m.Result.Canceled {
			return lacewingramp.ErrUnreachable
		}
		for _, e := range m.Result.Events {
			notify(lacewingramp.Change{Item: e.Pair.toItem(), Deleted: e.Type == EventDelete})
		}
	}
}
