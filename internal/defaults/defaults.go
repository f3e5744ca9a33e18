// Package defaults fills what a configuration leaves out.
package defaults

// Set gives *value the fallback where it is the zero value of its type.
func Set[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
