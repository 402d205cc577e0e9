package replay

import (
	"encoding/json"
	"math"
)

// tolerance is the maximum difference between two numbers that are considered equal. If
// the magnitude of the first is above 1, the difference is relative to it. A tolerance
// is needed because the sum of floating-point numbers depends on their order.
const tolerance = 1e-6

// equalJSON reports whether two JSON texts have equal values, where numbers may differ
// by tolerance. It returns false if one of the texts is not valid.
func equalJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return equalValues(x, y)
}

func equalValues(x, y any) bool {
	switch a := x.(type) {
	case float64:
		b, ok := y.(float64)
		return ok && math.Abs(a-b) <= tolerance*math.Max(1, math.Abs(a))
	case []any:
		b, ok := y.([]any)
		return ok && equalSlices(a, b)
	case map[string]any:
		b, ok := y.(map[string]any)
		return ok && equalMaps(a, b)
	default:
		return x == y
	}
}

func equalSlices(a, b []any) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !equalValues(a[i], b[i]) {
			return false
		}
	}
	return true
}

func equalMaps(a, b map[string]any) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		w, ok := b[k]
		if !ok || !equalValues(v, w) {
			return false
		}
	}
	return true
}
