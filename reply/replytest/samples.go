package replytest

import (
	"strings"

	"github.com/apricotmount/apricotmount/reply"
)

// Sample is a response to a request.
type Sample struct {
	Name string
	text string
	// Behind is what follows the response; it does not belong to it.
	Behind string
	// Want is the reason why the response is broken; empty if it is sound.
	Want reply.Broken
}

// fields marks the place of further field lines in a text. Without it, they follow the first line.
const fields = "{fields}"

// Text returns the bytes of the response with further field lines, each with its line end.
func (s Sample) Text(lines string) string {
	if strings.Contains(s.text, fields) {
		return strings.Replace(s.text, fields, lines, 1)
	}
	return strings.Replace(s.text, "\r\n", "\r\n"+lines, 1)
}

const (
	ok        = "HTTP/1.1 200 OK\r\n" + fields
	okChunked = ok + "Transfer-Encoding: chunked\r\n"
	tokens    = "!#$%&'*+-.^_`|~09azAZ"
)

// Sound are responses that a server may send.
var Sound = []Sample{
	{Name: "length", text: ok + "Content-Length: 5\r\n\r\nwhole", Behind: "HTTP/1.1 200 OK\r\n"},
	{Name: "no content", text: "HTTP/1.1 204 No Content\r\n\r\n", Behind: "x"},
	{Name: "not modified with the length of the resource", text: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", Behind: "whole"},
	{Name: "empty", text: ok + "Content-Length: 0\r\n\r\n", Behind: "x"},
	{Name: "no reason phrase", text: "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n"},
	{Name: "no reason phrase, no blank", text: "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"},
	{Name: "bytes over 127 in the reason", text: "HTTP/1.1 404 Trouv\xc3\xa9 pas\t\xff\r\nContent-Length: 0\r\n\r\n"},
	{Name: "bytes over 127 in a value", text: ok + "X: a\x80\xfe\xffb\r\nContent-Length: 0\r\n\r\n"},
	{Name: "blanks and tabs around a value", text: ok + "X: \t a \t b \t \r\nContent-Length: \t 5 \t" + strings.Repeat(" ", 40) + "\r\n\r\nwhole"},
	{Name: "no blank before a value", text: ok + "X:a\r\nContent-Length:5\r\n\r\nwhole"},
	{Name: "all bytes of a token in a name", text: ok + tokens + ": a\r\nContent-Length: 0\r\n\r\n"},
	{Name: "empty value", text: ok + "X:\r\nY: \r\nContent-Length: 0\r\n\r\n"},
	{Name: "colons in a value", text: ok + "X: a:b: c\r\nContent-Length: 0\r\n\r\n"},
	{Name: "HTTP/1.0 up to the close", text: "HTTP/1.0 200 OK\r\n\r\nwhole"},
	{Name: "HTTP/1.0 with a length", text: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", Behind: "x"},
	{Name: "HTTP/1.1 up to the close", text: ok + "Connection: close\r\n\r\nwhole\r\n\r\nwhole"},
	{Name: "later minor version", text: "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{Name: "chunks", text: okChunked + "\r\n5\r\nwhole\r\nA\r\n0123456789\r\n0\r\n\r\n", Behind: "HTTP/1.1"},
	{Name: "chunk sizes with zeros", text: okChunked + "\r\n0005\r\nwhole\r\n000\r\n\r\n", Behind: "x"},
	{Name: "chunk extensions", text: okChunked + "\r\n5;a=b;c=\"d e\"\r\nwhole\r\n5;a\r\nwhole\r\n0;last\r\n\r\n"},
	{Name: "trailers", text: okChunked + "Trailer: X-Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\nX-Other:\r\n\r\n", Behind: "x"},
	{Name: "coding in capitals", text: ok + "TRANSFER-ENCODING: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{Name: "one length twice", text: ok + "Content-Length: 5\r\ncontent-length: 5\r\n\r\nwhole", Behind: "x"},
	{Name: "bare line feeds in a head", text: "HTTP/1.1 200 OK\n" + fields + "X: a\nContent-Length: 5\n\nwhole", Behind: "x"},
	{Name: "early hints", text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwhole"},
	{Name: "several interim responses", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102\r\nContent-Length: 9\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nwhole"},
	{Name: "lowest final status", text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{Name: "highest status", text: "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n"},
}

// Broken are bytes that are no response, though each client accepts or mends some of them.
var Broken = []Sample{
	{Name: "status 000", text: "HTTP/1.1 000 Zero\r\n\r\n", Want: reply.Status},
	{Name: "status 001", text: "HTTP/1.1 001 One\r\n\r\n", Want: reply.Status},
	{Name: "status 099", text: "HTTP/1.1 099 Low\r\n\r\n", Want: reply.Status},
	{Name: "status 600", text: "HTTP/1.1 600 High\r\n\r\n", Want: reply.Status},
	{Name: "status 999", text: "HTTP/1.1 999 High\r\n\r\n", Want: reply.Status},
	{Name: "status 101", text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", Want: reply.Status},
	{Name: "four digits", text: "HTTP/1.1 2000 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "two digits", text: "HTTP/1.1 20 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "sign", text: "HTTP/1.1 +20 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "letters", text: "HTTP/1.1 2OO OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "no status", text: "HTTP/1.1\r\n\r\n", Want: reply.StatusLine},
	{Name: "two blanks before the status", text: "HTTP/1.1  200 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "tab behind the status", text: "HTTP/1.1 200\tOK\r\n\r\n", Want: reply.StatusLine},
	{Name: "control byte in the reason", text: "HTTP/1.1 200 O\x00K\r\n\r\n", Want: reply.StatusLine},
	{Name: "version in small letters", text: "http/1.1 200 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "other major version", text: "HTTP/2.0 200 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "version without a dot", text: "HTTP/11 200 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "empty line first", text: "\r\nHTTP/1.1 200 OK\r\n\r\n", Want: reply.StatusLine},
	{Name: "no head", text: "whole", Want: reply.StatusLine},
	{Name: "blank in a name", text: ok + "X Y: a\r\n\r\n", Want: reply.FieldName},
	{Name: "blank behind a name", text: ok + "X : a\r\n\r\n", Want: reply.FieldName},
	{Name: "tab behind a name", text: ok + "X\t: a\r\n\r\n", Want: reply.FieldName},
	{Name: "blank before the first name", text: ok + " X: a\r\n\r\n", Want: reply.FieldName},
	{Name: "continued line", text: ok + "X: a\r\n b\r\n\r\n", Want: reply.FieldName},
	{Name: "control byte in a name", text: ok + "X\x01Y: a\r\n\r\n", Want: reply.FieldName},
	{Name: "zero byte in a name", text: ok + "X\x00: a\r\n\r\n", Want: reply.FieldName},
	{Name: "byte over 127 in a name", text: ok + "X\xe9: a\r\n\r\n", Want: reply.FieldName},
	{Name: "bracket in a name", text: ok + "X(Y): a\r\n\r\n", Want: reply.FieldName},
	{Name: "no name", text: ok + ": a\r\n\r\n", Want: reply.FieldName},
	{Name: "no colon", text: ok + "X\r\n\r\n", Want: reply.FieldName},
	{Name: "control byte in a value", text: ok + "X: a\x01b\r\n\r\n", Want: reply.FieldValue},
	{Name: "delete byte in a value", text: ok + "X: a\x7fb\r\n\r\n", Want: reply.FieldValue},
	{Name: "carriage return in a value", text: ok + "X: a\rY: b\r\n\r\n", Want: reply.LineEnd},
	{Name: "two carriage returns", text: ok + "X: a\r\r\n\r\n", Want: reply.LineEnd},
	{Name: "blank behind Transfer-Encoding", text: ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Want: reply.FieldName},
	{Name: "blank behind Content-Length", text: ok + "Content-Length : 5\r\n\r\nwhole", Want: reply.FieldName},
	{Name: "coding in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Want: reply.Framing},
	{Name: "both framings", text: okChunked + "Content-Length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Want: reply.Framing},
	{Name: "both framings, the length first", text: ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Want: reply.Framing},
	{Name: "coding twice", text: okChunked + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Want: reply.Framing},
	{Name: "other coding", text: ok + "Transfer-Encoding: gzip\r\n\r\n", Want: reply.Framing},
	{Name: "list of codings", text: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", Want: reply.Framing},
	{Name: "identity", text: ok + "Transfer-Encoding: identity\r\n\r\n", Want: reply.Framing},
	{Name: "empty coding", text: ok + "Transfer-Encoding:\r\n\r\n", Want: reply.Framing},
	{Name: "coding that begins as chunked", text: ok + "Transfer-Encoding: chunked" + strings.Repeat("x", 40) + "\r\n\r\n", Want: reply.Framing},
	{Name: "two lengths", text: ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole!", Want: reply.Framing},
	{Name: "list of lengths", text: ok + "Content-Length: 5, 5\r\n\r\nwhole", Want: reply.Framing},
	{Name: "empty length", text: ok + "Content-Length:\r\n\r\n", Want: reply.Framing},
	{Name: "signed length", text: ok + "Content-Length: +5\r\n\r\nwhole", Want: reply.Framing},
	{Name: "negative length", text: ok + "Content-Length: -5\r\n\r\nwhole", Want: reply.Framing},
	{Name: "hexadecimal length", text: ok + "Content-Length: 0x5\r\n\r\nwhole", Want: reply.Framing},
	{Name: "length over 64 bits", text: ok + "Content-Length: 99999999999999999999\r\n\r\nwhole", Want: reply.Framing},
	{Name: "long length", text: ok + "Content-Length: " + strings.Repeat("0", 40) + "5\r\n\r\nwhole", Want: reply.Framing},
	{Name: "no chunk size", text: okChunked + "\r\n\r\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "malformed chunk size", text: okChunked + "\r\n5x\r\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "blank before a chunk size", text: okChunked + "\r\n 5\r\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "blank in a chunk size", text: okChunked + "\r\n1 0\r\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "chunk size over 64 bits", text: okChunked + "\r\nfffffffffffffffff\r\nwhole", Want: reply.Chunk},
	{Name: "blank before a chunk extension", text: okChunked + "\r\n5 ;a\r\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "control byte in a chunk extension", text: okChunked + "\r\n5;a\x00\r\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "bare line feed behind a chunk size", text: okChunked + "\r\n5\nwhole\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "longer chunk", text: okChunked + "\r\n5\r\nwhole!\r\n0\r\n\r\n", Want: reply.Chunk},
	{Name: "blank in a trailer's name", text: okChunked + "\r\n5\r\nwhole\r\n0\r\nX Y: a\r\n\r\n", Want: reply.FieldName},
	{Name: "blank behind a trailer's name", text: okChunked + "\r\n5\r\nwhole\r\n0\r\nX : a\r\n\r\n", Want: reply.FieldName},
	{Name: "control byte in a trailer's value", text: okChunked + "\r\n0\r\nX: \x02\r\n\r\n", Want: reply.FieldValue},
	{Name: "blank in a name of an interim response", text: "HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", Want: reply.FieldName},
	{Name: "status 000 behind an interim response", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Zero\r\n\r\n", Want: reply.Status},
}
