// Package message reads requests of callers and answers of targets whole, and
// writes them, as HTTP/1.1 on a plain connection.
//
// A message that can not be read ends in a FormatError with the status that
// tells the sender why. An answer that breaks off is never taken for a whole
// one: its body is in memory before the first byte goes to the caller.
//
// # Usage
//
//	r := message.NewReader(conn)
//	request, err := r.Request(bounds)
//	...
//	_, err = conn.Write(message.AppendRequest(nil, request, header))
//	answer, err := r.Answer(request.Method)
package message

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"lacewingramp.example/lacewingramp"
)

// Limits of an answer.
const (
	answerHeaderMost = 64 << 10
	// AnswerMost is the largest body of an answer, in bytes.
	AnswerMost = 16 << 20
	bufferSize = 4 << 10
	// lineSlack is what a request may exceed its header bound by, as that is
	// checked in whole buffers.
	lineSlack = bufferSize
)

// FormatError reports a message that is not HTTP/1.1 or too large. Status is
// the answer to its sender.
type FormatError struct {
	Status int
	Detail string
}

// Error returns the detail.
func (e *FormatError) Error() string {
	return fmt.Sprintf("bad message: %s", e.Detail)
}

// Request is one request of a caller with its whole body.
type Request struct {
	Method string
	// URI is the path and query as they were sent.
	URI    string
	Host   string
	Path   string
	Header http.Header
	Body   []byte
	// Close says that the caller wants no more answers on the connection.
	Close bool
}

// Answer is one whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Close says that the sender ends the connection after the answer.
	Close bool
}

// Reader reads messages from one connection.
type Reader struct {
	*bufio.Reader
	limit *limitReader
}

// NewReader returns a Reader on a connection.
func NewReader(r io.Reader) *Reader {
	l := &limitReader{reader: r, left: -1}
	return &Reader{Reader: bufio.NewReaderSize(l, bufferSize), limit: l}
}

var errHeaderSize = errors.New("header too large")

// limitReader fails when more than left bytes are read, unless left is
// negative.
type limitReader struct {
	reader io.Reader
	left   int64
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeaderSize
	}
	if l.left > 0 && int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.reader.Read(p)
	if l.left > 0 {
		l.left -= int64(n)
	}
	return n, err
}

// Request reads one request. interim is called before the body where the
// caller waits for leave to send it.
func (r *Reader) Request(b lacewingramp.Bounds, interim func() error) (*Request, error) {
	r.limit.left = b.Header + lineSlack
	q, err := http.ReadRequest(r.Reader)
	if r.limit.left == 0 {
		return nil, &FormatError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "header too large"}
	}
	r.limit.left = -1
	if err != nil {
		return nil, requestError(err)
	}
	if err := checkRequest(q, b); err != nil {
		return nil, err
	}
	if strings.EqualFold(q.Header.Get("Expect"), "100-continue") && interim != nil {
		if err := interim(); err != nil {
			return nil, err
		}
	}
	body, err := requestBody(q, b)
	if err != nil {
		return nil, err
	}
	return &Request{
		Method: q.Method, URI: q.RequestURI, Host: q.Host, Path: q.URL.EscapedPath(),
		Header: q.Header, Body: body, Close: q.Close,
	}, nil
}

func checkRequest(q *http.Request, b lacewingramp.Bounds) error {
	if q.ProtoMajor != 1 || q.ProtoMinor != 1 {
		return &FormatError{Status: http.StatusHTTPVersionNotSupported, Detail: "want HTTP/1.1"}
	}
	if q.Host == "" || !strings.HasPrefix(q.RequestURI, "/") {
		return &FormatError{Status: http.StatusBadRequest, Detail: "want a host and a path"}
	}
	if headerSize(q) > b.Header {
		return &FormatError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "header too large"}
	}
	if q.ContentLength > b.Body {
		return &FormatError{Status: http.StatusRequestEntityTooLarge, Detail: "body too large"}
	}
	return nil
}

func headerSize(q *http.Request) int64 {
	n := len(q.Method) + len(q.RequestURI) + len(q.Host)
	for name, values := range q.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

func requestBody(q *http.Request, b lacewingramp.Bounds) ([]byte, error) {
	if q.Body == nil || q.Body == http.NoBody {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, b.Body+1))
	if err != nil {
		return nil, requestError(err)
	}
	if int64(len(body)) > b.Body {
		return nil, &FormatError{Status: http.StatusRequestEntityTooLarge, Detail: "body too large"}
	}
	return body, nil
}

// requestError tells a connection that ended from bytes that are no request.
func requestError(err error) error {
	var n interface{ Timeout() bool }
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) {
		return err
	}
	return &FormatError{Status: http.StatusBadRequest, Detail: err.Error()}
}

// Answer reads one answer to a request with the given method. Interim answers
// are passed over.
func (r *Reader) Answer(method string) (*Answer, error) {
	for {
		r.limit.left = answerHeaderMost
		p, err := http.ReadResponse(r.Reader, &http.Request{Method: method}) //nolint:bodyclose // wholeAnswer closes it
		r.limit.left = -1
		if err != nil {
			return nil, err
		}
		if p.StatusCode < http.StatusOK {
			continue
		}
		return wholeAnswer(p)
	}
}

func wholeAnswer(p *http.Response) (*Answer, error) {
	defer func() { _ = p.Body.Close() }()
	a := &Answer{Status: p.StatusCode, Header: p.Header, Close: p.Close}
	var b bytes.Buffer
	if p.ContentLength > 0 && p.ContentLength <= AnswerMost {
		b.Grow(int(p.ContentLength) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(p.Body, AnswerMost+1))
	if err != nil {
		return nil, err
	}
	if n > AnswerMost {
		return nil, &FormatError{Status: http.StatusBadGateway, Detail: "answer too large"}
	}
	a.Body = b.Bytes()
	// A body without a length or chunks ends with its connection.
	if p.ContentLength < 0 && len(p.TransferEncoding) == 0 {
		a.Close = true
	}
	return a, nil
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Strip removes the headers that concern one connection only.
func Strip(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// AppendRequest appends a request with a header in place of its own.
func AppendRequest(b []byte, r *Request, h http.Header) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, h)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = appendLength(b, len(r.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// AppendAnswer appends an answer to a request with the given method.
func AppendAnswer(b []byte, a *Answer, method string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, a.Header)
	if a.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	empty := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !empty {
		b = appendLength(b, len(a.Body))
	}
	b = append(b, "\r\n"...)
	if empty || method == http.MethodHead {
		return b
	}
	return append(b, a.Body...)
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, h http.Header) []byte {
	for name, values := range h {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}
