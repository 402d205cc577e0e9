package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"lacewingramp.example/lacewingramp/internal/call/message"
)

// HTTP returns a Handler that answers requests with h, so that a Server bounds what its callers
// may take. The RemoteAddr of the requests that h gets is empty.
func HTTP(h http.Handler) Handler {
	return func(ctx context.Context, r *message.Request, _ time.Time) *message.Response {
		u, err := url.ParseRequestURI(r.URI)
		if err != nil {
			return &message.Response{Status: http.StatusBadRequest, Header: http.Header{}, Close: true}
		}
		req := &http.Request{
			Method: r.Method, URL: u, RequestURI: r.URI, Host: r.Host, Header: r.Header,
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)), Close: r.Close,
		}
		w := &responseWriter{response: message.Response{Header: http.Header{}}}
		h.ServeHTTP(w, req.WithContext(ctx))
		w.WriteHeader(http.StatusOK)
		return &w.response
	}
}

// responseWriter collects the response of an http.Handler.
type responseWriter struct {
	response message.Response
}

var _ http.ResponseWriter = (*responseWriter)(nil)

func (w *responseWriter) Header() http.Header { return w.response.Header }

// WriteHeader sets the status, unless it has been set.
func (w *responseWriter) WriteHeader(status int) {
	if w.response.Status == 0 {
		w.response.Status = status
		// The length is that of the collected body.
		w.response.Header.Del("Content-Length")
	}
}

func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.response.Body = append(w.response.Body, p...)
	return len(p), nil
}
