package main

import (
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Names of the parts that --disable turns off.
const (
	partCopies     = "copies"
	partAcceptance = "acceptance"
)

// disabledParts holds the parts that are turned off. It is a flag whose value is a list of
// names that are separated by commas.
type disabledParts map[string]bool

// UnmarshalFlag implements flags.Unmarshaler.
func (d *disabledParts) UnmarshalFlag(value string) error {
	known := []string{partCopies, partAcceptance}
	if *d == nil {
		*d = disabledParts{}
	}
	for _, name := range strings.Split(value, ",") {
		if !slices.Contains(known, name) {
			return errors.Errorf("unknown part %q, want a list of %s", name, strings.Join(known, ", "))
		}
		(*d)[name] = true
	}
	return nil
}

// String returns the list of names, sorted.
func (d disabledParts) String() string {
	return strings.Join(slices.Sorted(maps.Keys(d)), ",")
}
