package lacewingramp

import "time"

// LoanID identifies a loan of quota. It is unique to one run of the borrower.
type LoanID struct {
	Borrower string `json:"borrower"`
	Serial   uint64 `json:"serial"`
}

// LoanRequest requests a loan of quota from another instance: a rate in tokens per
// second and a number of tokens available immediately. Demand is the borrower's own
// demand in requests per second, and Waiting the number of its queued requests.
//
// If All is set, the loan is to include all quota that the lender has. A limit that
// is too small to be divided among instances is collected at one of them this way.
type LoanRequest struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
	Rate    float64 `json:"rate"`
	Tokens  float64 `json:"tokens"`
	All     bool    `json:"all,omitempty"`
	Demand  float64 `json:"demand"`
	Waiting int     `json:"waiting"`
}

// Loan is the reply to a LoanRequest. An empty Allocation is a refusal. The borrower
// may use the Allocation for the duration Term, measured on its own clock from the time
// at which it sent the LoanRequest. All is set if the loan is all quota that the lender
// has.
type Loan struct {
	ID         LoanID        `json:"id"`
	Subject    Subject       `json:"subject"`
	Allocation Allocation    `json:"parcel"`
	Term       time.Duration `json:"term"`
	All        bool          `json:"all,omitempty"`
}

// LoanReturn returns a loan before its term ends, with the tokens that were not used.
type LoanReturn struct {
	ID           LoanID  `json:"id"`
	Subject      Subject `json:"subject"`
	UnusedTokens float64 `json:"level"`
}

// Outstanding is a loan that has not been returned when a shard is handed over, and
// passes to the next holder together with the shard. Allocation is the part of the loan
// that came from the shard, and Remaining the time until it is available to the holder
// of the shard again.
type Outstanding struct {
	ID         LoanID        `json:"id"`
	Subject    Subject       `json:"subject"`
	Allocation Allocation    `json:"parcel"`
	Remaining  time.Duration `json:"left"`
}

// Extend identifies a loan that the borrower asks to extend by another term, or that
// the lender recalls.
type Extend struct {
	ID      LoanID  `json:"id"`
	Subject Subject `json:"subject"`
}

// LoanExtension is the reply to a request to extend a loan. Term is measured from
// the time at which the borrower sent the request.
type LoanExtension struct {
	Granted bool          `json:"granted"`
	Term    time.Duration `json:"term"`
}

// SpareQuota is the quota of one subject that an instance can lend now: a rate in
// tokens per second and a number of tokens available immediately. Demand is the
// instance's own demand in requests per second. Collecting is set while the instance
// collects all quota of a limit that is too small to be divided among instances.
type SpareQuota struct {
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
