// Package tools pins the versions of the code checkers (staticcheck) in a module
// of its own, so that the product's module does not depend on them.
package tools
