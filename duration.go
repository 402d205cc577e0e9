package lacewingramp

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// MarshalText formats the duration like time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration and fails if it is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration such as 250ms or 4s")
	}
	if v < 0 {
		return fmt.Errorf("want a duration of 0 or more")
	}
	*d = Duration(v)
	return nil
}

// TimeOfDay is a time of day, stored as the number of minutes since midnight plus
// one. The zero value means that no time is set.
type TimeOfDay int

const minutesPerHour = 60

// NewTimeOfDay returns the TimeOfDay for the given hour and minute.
func NewTimeOfDay(hour, minute int) TimeOfDay {
	return TimeOfDay(hour*minutesPerHour + minute + 1)
}

// Clock returns the hour and minute.
func (t TimeOfDay) Clock() (hour, minute int) {
	return int(t-1) / minutesPerHour, int(t-1) % minutesPerHour
}

// MarshalText formats the time as "22:30". The result is empty if no time is set.
func (t TimeOfDay) MarshalText() ([]byte, error) {
	if t == 0 {
		return nil, nil
	}
	h, n := t.Clock()
	return fmt.Appendf(nil, "%02d:%02d", h, n), nil
}

// UnmarshalText parses a time of day such as "22:30".
func (t *TimeOfDay) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*t = 0
		return nil
	}
	parsed, err := time.Parse("15:04", string(text))
	if err != nil {
		return fmt.Errorf("want a time of day such as 22:30")
	}
	*t = NewTimeOfDay(parsed.Hour(), parsed.Minute())
	return nil
}
