// Package service defines services. A service selects calls by host and path
// prefix, references the profile that applies to them, and holds the limits of
// its targets.
package service
