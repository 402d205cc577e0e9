package emulator

import "time"

// event is a call of f at a point in virtual time.
type event struct {
	at       time.Time
	sequence int
	f        func()
}

// events is a heap of events ordered by time. Events at the same time are ordered by
// sequence, the order in which they were scheduled.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Pop removes the last element, as heap.Interface requires.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
