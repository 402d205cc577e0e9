// Package story finds what the instances' logs say of one request, and puts it
// in order.
//
// Logs are JSON lines of several instances. Text before the first brace of a
// line, such as a collector's time and host, is passed over, and so are lines
// that are no JSON.
//
// # Usage
//
//	s, err := story.Read("9c41d07be2a35f68", file, another)
//	for _, l := range s.Lines {
//		fmt.Println(l)
//	}
package story

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

// lineMost is the longest line that is read, in bytes.
const lineMost = 1 << 20

// Fields of a line that stand at its begin.
const (
	fieldTime     = "time"
	fieldInstance = "instance"
	fieldMessage  = "message"
	fieldID       = "id"
	fieldLevel    = "level"
	fieldTarget   = "target"
	fieldService  = "service"
)

// around is how long before and after a request's lines the lines about its
// targets are of interest.
const around = 5 * time.Second

// Line is one line of a log.
type Line struct {
	Moment   time.Time
	Instance string
	Message  string
	Fields   map[string]any
}

// String returns the line for a person to read, its fields in order of name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	sort.Strings(names)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s: %s", l.Moment.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, n := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", n, l.Fields[n])
	}
	return b.String()
}

// Story is what is known of a request: its own lines, and those about the
// targets that it was sent to, shortly before and after.
type Story struct {
	Lines  []Line
	Around []Line
}

// Read reads logs for the lines of a request.
func Read(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{}
	var others []Line
	for _, r := range logs {
		err := scan(r, func(l Line) {
			if l.Fields[fieldID] == id {
				delete(l.Fields, fieldID)
				s.Lines = append(s.Lines, l)
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
	byTime(s.Lines)
	s.Around = s.near(others)
	return s, nil
}

func scan(r io.Reader, f func(Line)) error {
	c := bufio.NewScanner(r)
	c.Buffer(nil, lineMost)
	for c.Scan() {
		if l, ok := parse(c.Text()); ok {
			f(l)
		}
	}
	if err := c.Err(); err != nil {
		return errors.Wrap(err, "read a log")
	}
	return nil
}

func parse(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	l := Line{Fields: make(map[string]any)}
	if err := json.Unmarshal([]byte(text[begin:]), &l.Fields); err != nil {
		return Line{}, false
	}
	ms, _ := l.Fields[fieldTime].(float64)
	l.Moment = time.UnixMilli(int64(ms))
	l.Instance, _ = l.Fields[fieldInstance].(string)
	l.Message, _ = l.Fields[fieldMessage].(string)
	for _, n := range []string{fieldTime, fieldInstance, fieldMessage, fieldLevel} {
		delete(l.Fields, n)
	}
	return l, true
}

func byTime(all []Line) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Moment.Before(all[j].Moment) })
}

// near picks the lines of the request's own instances that bear on it: those
// about its targets and its service, and those about the instance itself.
func (s *Story) near(others []Line) []Line {
	if len(s.Lines) == 0 {
		return nil
	}
	instances, subjects := make(map[string]bool), make(map[string]bool)
	for _, l := range s.Lines {
		instances[l.Instance] = true
		for _, n := range subjectsOf(l) {
			subjects[n] = true
		}
	}
	from := s.Lines[0].Moment.Add(-around)
	until := s.Lines[len(s.Lines)-1].Moment.Add(around)
	var all []Line
	for _, l := range others {
		if !instances[l.Instance] || l.Moment.Before(from) || l.Moment.After(until) {
			continue
		}
		if about := subjectsOf(l); len(about) == 0 || subjects[about[0]] {
			all = append(all, l)
		}
	}
	byTime(all)
	return all
}

// subjectsOf lists the targets of a line, or its service.
func subjectsOf(l Line) []string {
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
