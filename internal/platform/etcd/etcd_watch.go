package etcd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"lacewingramp.example/lacewingramp"
)

// Watch calls f for each change below prefix after revision from. Each watch
// opens a connection of its own, which ends with it.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, f func(lacewingramp.Change)) error {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	defer t.CloseIdleConnections()
	in := WatchRequest{Create: WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: from + 1,
	}}
	resp, err := c.post(ctx, &http.Client{Transport: t}, "/v3/watch", in)
	if err != nil {
		return failure(err, false)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return lacewingramp.ErrUnreachable
	}
	return readWatch(ctx, json.NewDecoder(resp.Body), f)
}

func readWatch(ctx context.Context, d *json.Decoder, f func(lacewingramp.Change)) error {
	for {
		var m WatchMessage
		if err := d.Decode(&m); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return failure(err, false)
		}
		if m.Result.Canceled {
			return lacewingramp.ErrUnreachable
		}
		for _, e := range m.Result.Events {
			f(lacewingramp.Change{Item: e.Pair.item(), Deleted: e.Type == EventDelete})
		}
	}
}
