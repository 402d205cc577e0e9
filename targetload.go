package lacewingramp

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	// loadEntrySize is the size of an entry of TargetLoads in bytes: 4 for the hash, and one each
	// for the requests, the percentage of work and the age.
	loadEntrySize = 7
	// maxLoadEntries is the maximum number of entries in a TargetLoads.
	maxLoadEntries = 64
	// loadAgeUnit is the unit of the age of an entry.
	loadAgeUnit = 10 * time.Millisecond
	// A percentage p is encoded as 1 + workSteps*log2(p/minWorkPercent), 0 if not reported.
	workSteps      = 40
	minWorkPercent = 25
	maxWorkPercent = 1600
)

// TargetLoads holds reports that targets have sent to an instance on their load. It is a packed
// string of entries, as a heartbeat has room for few bytes.
type TargetLoads []byte

// SharedLoad is an entry of TargetLoads.
type SharedLoad struct {
	// Hash is that of the target's name, the low 32 bits of its xxhash.
	Hash uint32
	// Requests is the number of running and waiting requests, 255 if there are more.
	Requests int
	// WorkPercent is that of TargetLoad, within 2%, from 25 to 1600, or 0.
	WorkPercent int
	// Age is how long before the heartbeat the target sent the report, at most 2.55 s.
	Age time.Duration
}

// Append returns the loads with another entry, or unchanged if there are as many as allowed.
func (l TargetLoads) Append(s SharedLoad) TargetLoads {
	if l.Len() >= maxLoadEntries {
		return l
	}
	l = binary.BigEndian.AppendUint32(l, s.Hash)
	age := (max(0, s.Age) + loadAgeUnit/2) / loadAgeUnit
	return append(l, clampByte(s.Requests), encodeWork(s.WorkPercent), clampByte(int(min(age, math.MaxUint8))))
}

// Len returns the number of entries.
func (l TargetLoads) Len() int {
	return len(l) / loadEntrySize
}

// At returns the entry at an index.
func (l TargetLoads) At(i int) SharedLoad {
	e := l[i*loadEntrySize : (i+1)*loadEntrySize]
	return SharedLoad{
		Hash: binary.BigEndian.Uint32(e), Requests: int(e[4]), WorkPercent: decodeWork(e[5]), Age: time.Duration(e[6]) * loadAgeUnit,
	}
}

// Check returns an error for TargetLoads that no instance sends.
func (l TargetLoads) Check() error {
	if len(l)%loadEntrySize != 0 || l.Len() > maxLoadEntries {
		return &InvalidValueError{Kind: "target loads", Name: ""}
	}
	return nil
}

func clampByte(n int) byte {
	return byte(min(max(0, n), math.MaxUint8))
}

func encodeWork(workPercent int) byte {
	if workPercent <= 0 {
		return 0
	}
	p := min(max(workPercent, minWorkPercent), maxWorkPercent)
	return byte(1 + math.Round(workSteps*math.Log2(float64(p)/minWorkPercent)))
}

func decodeWork(b byte) int {
	if b == 0 {
		return 0
	}
	return min(int(math.Round(minWorkPercent*math.Exp2(float64(b-1)/workSteps))), maxWorkPercent)
}
