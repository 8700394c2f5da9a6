package objects

import (
	"fmt"
	"strings"
)

// ValidationError describes one error in a configuration.
type ValidationError struct {
	// Object is the kind and name of the invalid object, or the list or file that is invalid.
	Object string
	// Field is the name of the invalid field. It is empty if the error concerns the whole
	// object. For a syntax error it holds the line and column.
	Field string
	// Problem describes the error.
	Problem string
	// Expected describes the valid values.
	Expected string
	// Suggestion is the existing name that is most similar to an unknown one; it may be empty.
	Suggestion string
}

// Error returns the error as one line.
func (e ValidationError) Error() string {
	var line strings.Builder
	line.WriteString(e.Object)
	if e.Field != "" {
		line.WriteString(": " + e.Field)
	}
	line.WriteString(": " + e.Problem)
	if e.Expected != "" {
		line.WriteString("; expected " + e.Expected)
	}
	if e.Suggestion != "" {
		fmt.Fprintf(&line, "; did you mean %q?", e.Suggestion)
	}
	return line.String()
}

// nearestName returns the candidate with the smallest edit distance to name. It
// returns "" if none is similar: every distance exceeds len(name)/3 + 1.
func nearestName(name string, candidates []string) string {
	best, bestDistance := "", len(name)/3+2
	for _, candidate := range candidates {
		if distance := editDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
