package lacewingramp

import "time"

// LoanID names a loan. It is unique per borrower process.
type LoanID struct {
	Borrower string `json:"borrower"`
	Serial   uint64 `json:"serial"`
}

// Ask is a borrower's wish for a part of a limit: Rate in tokens a second and
// Tokens at once.
type Ask struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
	Rate    float64 `json:"rate"`
	Tokens  float64 `json:"tokens"`
}

// Loan is a lender's answer. The borrower uses Parcel until Term has passed
// since it sent the Ask, on its own clock. An empty parcel is a refusal.
type Loan struct {
	ID      LoanID        `json:"id"`
	Subject Subject       `json:"subject"`
	Parcel  Parcel        `json:"parcel"`
	Term    time.Duration `json:"term"`
}

// Return brings a loan back before its term.
type Return struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
	Level   float64 `json:"level"`
}

// Spare says how much of a limit an instance could lend now: Rate in tokens a
// second and Tokens at once.
type Spare struct {
	Subject Subject `json:"subject"`
	Rate    float64 `json:"rate"`
	Tokens  float64 `json:"tokens"`
}

// Limit is the size of a subject over the whole fleet: Rate in tokens a
// second and Burst in tokens.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}
