// Package timeline collects the log lines about one request and sorts them by time.
//
// Its input is the JSON logs of several instances. Text before the first brace of a
// line, such as a timestamp and host added by a log collector, is skipped, and so
// are lines that are not JSON.
//
// # Usage
//
//	t, err := timeline.Read("9c41d07be2a35f68", file, another)
//	for _, l := range t.Lines {
//		fmt.Println(l)
//	}
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

// Names of log fields.
const (
	fieldTime     = "time"
	fieldInstance = "instance"
	fieldMessage  = "message"
	fieldID       = "id"
	fieldLevel    = "level"
	fieldTarget   = "target"
	fieldService  = "service"
)

// relatedWindow is the time before the first and after the last line of a request
// within which other lines can be related to it.
const relatedWindow = 5 * time.Second

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// String formats the line as text, with its fields sorted by name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	sort.Strings(names)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", n, l.Fields[n])
	}
	return b.String()
}

// Timeline holds the log lines of a request, sorted by time. Related holds lines that
// do not have the id of any request: those that the same instances logged within
// relatedWindow about the request's targets, about its service, or about neither a
// target nor a service, such as the loss of the store.
type Timeline struct {
	Lines   []Line
	Related []Line
}

// Read collects the timeline of the request with the given id from logs.
func Read(id string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{}
	var others []Line
	for _, r := range logs {
		err := forEachLine(r, func(l Line) {
			if l.Fields[fieldID] == id {
				delete(l.Fields, fieldID)
				t.Lines = append(t.Lines, l)
				return
			}
			if _, ok := l.Fields[fieldID]; !ok {
				others = append(others, l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	sortByTime(t.Lines)
	t.Related = t.related(others)
	return t, nil
}

func forEachLine(r io.Reader, process func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			process(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Fields: make(map[string]any)}
	if err := json.Unmarshal([]byte(text[start:]), &l.Fields); err != nil {
		return Line{}, false
	}
	ms, _ := l.Fields[fieldTime].(float64)
	l.Time = time.UnixMilli(int64(ms))
	l.Instance, _ = l.Fields[fieldInstance].(string)
	l.Message, _ = l.Fields[fieldMessage].(string)
	for _, n := range []string{fieldTime, fieldInstance, fieldMessage, fieldLevel} {
		delete(l.Fields, n)
	}
	return l, true
}

func sortByTime(all []Line) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
}

// related selects from others the lines that belong in Timeline.Related.
func (t *Timeline) related(others []Line) []Line {
	if len(t.Lines) == 0 {
		return nil
	}
	instances, requestNames := make(map[string]bool), make(map[string]bool)
	for _, l := range t.Lines {
		instances[l.Instance] = true
		for _, n := range mentions(l) {
			requestNames[n] = true
		}
	}
	from := t.Lines[0].Time.Add(-relatedWindow)
	until := t.Lines[len(t.Lines)-1].Time.Add(relatedWindow)
	var all []Line
	for _, l := range others {
		if !instances[l.Instance] || l.Time.Before(from) || l.Time.After(until) {
			continue
		}
		if names := mentions(l); len(names) == 0 || requestNames[names[0]] {
			all = append(all, l)
		}
	}
	sortByTime(all)
	return all
}

// mentions returns the names of the targets and of the service that a line is about,
// the targets first.
func mentions(l Line) []string {
	var all []string
	if t, ok := l.Fields[fieldTarget].(string); ok {
		all = append(all, t)
	}
	if tried, ok := l.Fields["tried"].([]any); ok {
		for _, t := range tried {
			all = append(all, fmt.Sprint(t))
		}
	}
	if s, ok := l.Fields[fieldService].(string); ok {
		all = append(all, s)
	}
	return all
}
