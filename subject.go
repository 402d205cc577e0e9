package lacewingramp

//go:generate stringer -type=SubjectKind -linecomment

// SubjectKind says what a limit is held on.
type SubjectKind uint8

// The kinds of subject.
const (
	SubjectCustomer SubjectKind = iota // customer
	SubjectCap                         // cap
	SubjectLink                        // link
)

// Subject is one limit that is counted over several instances: a customer's
// rate, a region's cap or a link's bandwidth.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	Name string      `json:"name"`
}

// String returns the kind and the name with a slash between them.
func (s Subject) String() string {
	return s.Kind.String() + "/" + s.Name
}

// Units is an exact part of a limit. Whole is all of it.
type Units uint64

// Whole is the number of units of a limit over the whole fleet.
const Whole Units = 1 << 40

// Of returns the part of limit that u stands for.
func (u Units) Of(limit float64) float64 {
	return float64(u) / float64(Whole) * limit
}

// UnitsOf returns the units that stand for amount of limit, rounded down and
// at most Whole.
func UnitsOf(amount, limit float64) Units {
	if limit <= 0 || amount <= 0 {
		return 0
	}
	if amount >= limit {
		return Whole
	}
	return Units(amount / limit * float64(Whole))
}

// Parcel is a part of a limit that is in one pair of hands at a time: a token
// bucket of Rate and Burst units that holds Level tokens.
type Parcel struct {
	Rate  Units   `json:"rate"`
	Burst Units   `json:"burst"`
	Level float64 `json:"level"`
}

// Empty reports whether the parcel carries nothing.
func (p Parcel) Empty() bool {
	return p.Rate == 0 && p.Burst == 0
}

// Check reports a parcel that can not have been split off from a limit.
func (p Parcel) Check() error {
	if p.Rate > Whole || p.Burst > Whole || p.Level < 0 || p.Level != p.Level {
		return &NameError{Kind: "parcel", Name: "out of range"}
	}
	return nil
}
