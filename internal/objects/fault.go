package objects

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a configuration.
type ValidationError struct {
	// Object is the kind and name of the object, or the file.
	Object string
	// Field is the name of the field; empty when the whole object is meant.
	Field string
	// Problem says what is wrong.
	Problem string
	// Expected says what would be right.
	Expected string
	// Nearest is the existing name closest to a misspelled one; may be empty.
	Suggestion string
}

// Error returns the fault as one line.
func (f ValidationError) Error() string {
	var line strings.Builder
	line.WriteString(f.Object)
	if f.Field != "" {
		line.WriteString(": " + f.Field)
	}
	line.WriteString(": " + f.Problem)
	if f.Expected != "" {
		line.WriteString("; expected " + f.Expected)
	}
	if f.Suggestion != "" {
		fmt.Fprintf(&line, "; did you mean %q?", f.Suggestion)
	}
	return line.String()
}

// nearest returns the candidate with the smallest edit distance to name, or ""
// when none is close: more than a third of the letters would have to change.
func nearestName(name string, candidates []string) string {
	best, bestDistance := "", len(name)/3+2
	for _, candidate := range candidates {
		if distance := editDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance is the Levenshtein distance in bytes.
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
