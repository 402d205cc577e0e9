package lacewingramp

import "time"

// LoanID names a loan. It is unique per borrower process.
type LoanID struct {
	Borrower string `json:"borrower"`
	Serial   uint64 `json:"serial"`
}

// Ask is a borrower's wish for a part of a limit: Rate in tokens a second and
// Tokens at once. With All set it gathers a small limit at one instance of the
// domain and asks for all that the lender has.
type Ask struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
	Rate    float64 `json:"rate"`
	Tokens  float64 `json:"tokens"`
	All     bool    `json:"all,omitempty"`
	Demand  float64 `json:"demand"`
	Waiting int     `json:"waiting"`
}

// Loan is a lender's answer. The borrower uses Parcel until Term has passed
// since it sent the Ask, on its own clock. An empty parcel is a refusal. All is
// set on a loan of all that the lender has.
type Loan struct {
	ID      LoanID        `json:"id"`
	Subject Subject       `json:"subject"`
	Parcel  Parcel        `json:"parcel"`
	Term    time.Duration `json:"term"`
	All     bool          `json:"all,omitempty"`
}

// Return brings a loan back before its term.
type Return struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
	Level   float64 `json:"level"`
}

// Owed is a loan that goes with a shard to its next holder: Parcel is what was
// lent out of the shard, and Left is the time until it is over for its lender.
type Owed struct {
	ID      LoanID        `json:"id"`
	Subject Subject       `json:"subject"`
	Parcel  Parcel        `json:"parcel"`
	Left    time.Duration `json:"left"`
}

// Extend asks a lender to let a loan run for another term.
type Extend struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
}

// Extended answers an Extend.
type Extended struct {
	Granted bool          `json:"granted"`
	Term    time.Duration `json:"term"`
}

// Spare says how much of a limit an instance could lend now: Rate in tokens a
// second and Tokens at once. Demand is its own, in requests a second, and
// Gathers is set while it gathers a small limit.
type Spare struct {
	Subject Subject `json:"subject"`
	Rate    float64 `json:"rate"`
	Tokens  float64 `json:"tokens"`
	Demand  float64 `json:"demand,omitempty"`
	Gathers bool    `json:"gathers,omitempty"`
}

// Limit is the size of a subject over the whole fleet: Rate in tokens a
// second and Burst in tokens.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}
