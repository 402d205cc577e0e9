package lacewingramp

import "time"

// LoanID identifies a loan of quota. It is unique to one run of the borrower.
type LoanID struct {
	Borrower string `json:"borrower"`
	Serial   uint64 `json:"serial"`
}

// Ask requests a loan of quota from another instance: a rate in tokens per second
// and a number of tokens available immediately. Demand and Waiting are the
// borrower's own demand in requests per second and its queued requests.
//
// All requests everything that the lender has. It is used to collect the quota of
// a limit that is too small to be divided at one instance.
type Ask struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
	Rate    float64 `json:"rate"`
	Tokens  float64 `json:"tokens"`
	All     bool    `json:"all,omitempty"`
	Demand  float64 `json:"demand"`
	Waiting int     `json:"waiting"`
}

// Loan is the reply to an Ask. An empty Parcel is a refusal. The borrower counts
// Term on its own clock, from when it sent the Ask, and then stops using the
// Parcel. All is set if the loan is everything that the lender has.
type Loan struct {
	ID      LoanID        `json:"id"`
	Subject Subject       `json:"subject"`
	Parcel  Parcel        `json:"parcel"`
	Term    time.Duration `json:"term"`
	All     bool          `json:"all,omitempty"`
}

// Return gives a loan back before its term ends. UnusedTokens is the number of
// unused tokens.
type Return struct {
	ID           LoanID  `json:"id"`
	Subject      Subject `json:"subject"`
	UnusedTokens float64 `json:"level"`
}

// Owed is an outstanding loan that moves with a shard to the shard's next holder.
// Parcel is the part of the loan that was taken out of the shard, and Remaining is
// the time until the lender may use it again.
type Owed struct {
	ID        LoanID        `json:"id"`
	Subject   Subject       `json:"subject"`
	Parcel    Parcel        `json:"parcel"`
	Remaining time.Duration `json:"left"`
}

// Extend identifies a loan that the borrower asks to extend by another term, or
// that the lender recalls.
type Extend struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
}

// Extended is the reply to a request to extend a loan. Term is counted from when
// the request was sent.
type Extended struct {
	Granted bool          `json:"granted"`
	Term    time.Duration `json:"term"`
}

// Spare is the quota of one subject that an instance can lend now: a rate in tokens
// per second and a number of tokens available immediately. Demand is the instance's
// own demand in requests per second. Collecting is set while the instance collects
// the quota of a limit that is too small to be divided.
type Spare struct {
	Subject    Subject `json:"subject"`
	Rate       float64 `json:"rate"`
	Tokens     float64 `json:"tokens"`
	Demand     float64 `json:"demand,omitempty"`
	Collecting bool    `json:"gathers,omitempty"`
}

// Limit is the fleet-wide limit of a subject: a rate in tokens per second and a
// burst in tokens.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}
