package lacewingramp

//go:generate stringer -type=SubjectKind -linecomment

// SubjectKind is the kind of object that a limit applies to.
type SubjectKind uint8

// The kinds of subject.
const (
	SubjectCustomer SubjectKind = iota // customer
	SubjectCap                         // cap
	SubjectLink                        // link
)

// Subject identifies a limit that several instances enforce together: a customer's
// rate, a region's cap or a link's bandwidth.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	Name string      `json:"name"`
}

// String returns the kind and the name, separated by a slash.
func (s Subject) String() string {
	return s.Kind.String() + "/" + s.Name
}

// LimitFraction is a fraction of a limit as a fixed-point number, so that fractions
// can be split and added without rounding errors. WholeLimit stands for 1.
type LimitFraction uint64

// WholeLimit is the fraction 1, a complete fleet-wide limit.
const WholeLimit LimitFraction = 1 << 40

// Of returns the amount of limit that the fraction stands for.
func (f LimitFraction) Of(limit float64) float64 {
	return float64(f) / float64(WholeLimit) * limit
}

// FractionOf returns the fraction of limit that amount is, rounded down and at most
// WholeLimit.
func FractionOf(amount, limit float64) LimitFraction {
	if limit <= 0 || amount <= 0 {
		return 0
	}
	if amount >= limit {
		return WholeLimit
	}
	return LimitFraction(amount / limit * float64(WholeLimit))
}

// Allocation is a share of a limit that exactly one instance uses at a time. It is a
// token bucket that currently holds Balance tokens and whose Rate and Burst
// are fractions of those of the limit.
type Allocation struct {
	Rate    LimitFraction `json:"rate"`
	Burst   LimitFraction `json:"burst"`
	Balance float64       `json:"level"`
}

// Empty reports whether the allocation has neither rate nor burst.
func (a Allocation) Empty() bool {
	return a.Rate == 0 && a.Burst == 0
}

// Check returns an error for an allocation that cannot be a share of a limit.
func (a Allocation) Check() error {
	if a.Rate > WholeLimit || a.Burst > WholeLimit || a.Balance < 0 || a.Balance != a.Balance {
		return &InvalidValueError{Kind: "allocation", Name: "out of range"}
	}
	return nil
}
