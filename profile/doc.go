// Package profile defines how a kind of traffic is served.
//
// Callers never say how urgent a call is. Operators publish profiles, each
// service names one, and every call of the service is treated by it. A Document
// is what people write; Parse checks it whole and gives a Profile, the form
// that the rest of the program uses.
package profile
