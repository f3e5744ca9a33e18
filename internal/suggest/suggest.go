// Package suggest finds the known name that is closest to a misspelt one.
package suggest

// maximumDistance is the maximum edit distance of a suggestion.
const maximumDistance = 3

// Nearest returns the known name closest to name, or "" if none is close.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maximumDistance+1
	for _, candidate := range known {
		distance := editDistance(name, candidate)
		if distance < bestDistance && distance < len(candidate) {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			current[j+1] = min(previous[j+1]+1, current[j]+1, previous[j]+cost)
		}
		previous = current
	}
	return previous[len(b)]
}
