// Package service defines services: which calls belong to one, which profile
// serves them, and what its targets can bear.
package service
