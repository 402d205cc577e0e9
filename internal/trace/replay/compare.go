package replay

import (
	"encoding/json"
	"math"
)

// closeness is how far apart two numbers may be that count as the same: sums
// of floating point numbers depend on their order.
const closeness = 1e-6

// same compares two JSON texts, numbers with some tolerance.
func same(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return alike(x, y)
}

func alike(x, y any) bool {
	switch a := x.(type) {
	case float64:
		b, ok := y.(float64)
		return ok && math.Abs(a-b) <= closeness*math.Max(1, math.Abs(a))
	case []any:
		b, ok := y.([]any)
		return ok && alikeLists(a, b)
	case map[string]any:
		b, ok := y.(map[string]any)
		return ok && alikeMaps(a, b)
	default:
		return x == y
	}
}

func alikeLists(a, b []any) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !alike(a[i], b[i]) {
			return false
		}
	}
	return true
}

func alikeMaps(a, b map[string]any) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		w, ok := b[k]
		if !ok || !alike(v, w) {
			return false
		}
	}
	return true
}
