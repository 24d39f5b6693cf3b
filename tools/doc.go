// Package tools pins the linter that .ci/run uses; see go.mod.
package tools
