// Package abuse has tests with clients that send what no well-behaved client sends: heads of
// very many lines, without end or never finished, and connections without a request; and with targets
// and a platform that answer without end.
//
// Each test starts the programs as processes with lowered limits and checks that a process goes
// on running, stays within its memory and descriptors, and answers an ordinary request. The tests
// measure memory, so they run one at a time and only with the flag -abuse:
//
//	go test ./abuse -abuse -p 1
package abuse
