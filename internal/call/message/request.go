package message

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strings"

	"lacewingramp.example/lacewingramp"
)

// Request is one request of a caller with its complete body. Release has to be called when one
// that was read is no longer needed.
type Request struct {
	Method string
	// URI is the path and query as sent by the caller.
	URI    string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
	// Close says that the caller asked for the connection to be closed after the
	// response.
	Close bool

	body   *requestBody
	memory *requestMemory
}

// ReleaseBody gives the memory of the body back to the budget from which it was taken. Nothing may
// use Body any longer. It may be called more than once.
func (r *Request) ReleaseBody() {
	r.Body = nil
	r.body.release()
	r.body = nil
	r.memory.releaseBody()
}

// HoldResponse counts the body of a response to the request until the request is released, unless
// a Budget counts it.
func (r *Request) HoldResponse(resp *Response) {
	if resp != nil && resp.taken == 0 {
		r.memory.hold(len(resp.Body))
	}
}

// Release gives all memory of the request back to the budget from which it was taken. It may be
// called more than once.
func (r *Request) Release() {
	r.ReleaseBody()
	r.memory.release()
	r.memory = nil
}

// Request reads one request. sendContinue, if not nil, is called before the body is
// read if the caller has sent "Expect: 100-continue".
func (r *Reader) Request(bounds lacewingramp.Bounds, sendContinue func() error) (*Request, error) {
	m := r.Requests.begin(r.Cut)
	req, err := r.request(bounds, sendContinue, m)
	if err = m.end(err); err != nil {
		m.release()
		return nil, err
	}
	return req, nil
}

func (r *Reader) request(bounds lacewingramp.Bounds, sendContinue func() error, m *requestMemory) (*Request, error) {
	req, err := r.requestHead(bounds, m)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && sendContinue != nil {
		if err := sendContinue(); err != nil {
			return nil, err
		}
	}
	body, err := r.requestBody(req, bounds, m)
	if err != nil {
		return nil, err
	}
	return &Request{
		Method: req.Method, URI: req.RequestURI, Host: req.Host, Path: req.URL.EscapedPath(),
		Header: req.Header, Body: body.buf, Close: req.Close, body: body, memory: m,
	}, nil
}

// requestHead reads and checks the head of a request. Its memory is taken before its lines are
// parsed.
func (r *Reader) requestHead(bounds lacewingramp.Bounds, m *requestMemory) (*http.Request, error) {
	r.limit.remaining, r.limit.remainingLines = bounds.Header+headerSlack, math.MaxInt
	r.limit.head = m
	req, err := http.ReadRequest(r.Reader)
	r.limit.head = nil
	if r.limit.noMemory != nil {
		return nil, r.limit.noMemory
	}
	if r.limit.remaining == 0 {
		return nil, &FormatError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "request header too large"}
	}
	r.limit.remaining = -1
	if err != nil && errors.Is(r.limit.err, os.ErrDeadlineExceeded) {
		// A part of a line that arrived in time looks like a malformed one.
		return nil, r.limit.err
	}
	if err != nil {
		return nil, requestError(err)
	}
	if err := checkRequest(req, bounds); err != nil {
		return nil, err
	}
	return req, m.settleHead(req)
}

func checkRequest(req *http.Request, bounds lacewingramp.Bounds) error {
	if req.ProtoMajor != 1 || req.ProtoMinor != 1 {
		return &FormatError{Status: http.StatusHTTPVersionNotSupported, Detail: "only HTTP/1.1 is supported"}
	}
	if req.Host == "" || !strings.HasPrefix(req.RequestURI, "/") {
		return &FormatError{Status: http.StatusBadRequest, Detail: "the Host header or an absolute path is missing"}
	}
	if name, ok := invalidField(req.Header); ok {
		return &FormatError{Status: http.StatusBadRequest, Detail: fmt.Sprintf("invalid header field %.40q", name)}
	}
	if headerSize(req) > bounds.Header {
		return &FormatError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "request header too large"}
	}
	if req.ContentLength > bounds.Body {
		return errRequestSize
	}
	return nil
}

func headerSize(req *http.Request) int64 {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// requestError returns errors of the connection as they are, and any other as a
// FormatError.
func requestError(err error) error {
	var timeout interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout) {
		return err
	}
	return &FormatError{Status: http.StatusBadRequest, Detail: err.Error()}
}

// AppendRequest appends a request in wire format, with h in place of its own header.
func AppendRequest(b []byte, req *Request, h http.Header) []byte {
	return append(AppendRequestHead(b, req, h), req.Body...)
}

// AppendRequestHead appends what comes before the body of a request.
func AppendRequestHead(b []byte, req *Request, h http.Header) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, h)
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b = appendLength(b, len(req.Body))
	}
	return append(b, "\r\n"...)
}
