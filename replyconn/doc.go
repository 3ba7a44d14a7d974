// Package replyconn has client connections that pass on only what package reply accepts as a
// response of the server.
package replyconn
