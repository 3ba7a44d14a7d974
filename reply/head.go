package reply

// The statuses that RFC 9110 knows. Others state nothing about the request, so a response with one
// counts as broken.
const (
	minStatus                = 100
	switchingProtocols       = 101
	minFinalStatus           = 200
	noContent                = 204
	notModified              = 304
	maxStatus                = 599
	unknownLength      int64 = -1
)

// head is what a head states about the framing of its response.
type head struct {
	status int
	// isOld reports whether the version is HTTP/1.0.
	isOld bool
	// length is the length of the body in bytes, or unknownLength.
	length    int64
	isChunked bool
}

// framing is how the end of a response is found.
type framing int

const (
	noBody framing = iota
	interim
	upgrade
	inChunks
	withLength
	toClose
)

// addField takes a field line.
func (h *head) addField(l *line) error {
	switch {
	case l.hasName("content-length"):
		n, ok := l.number()
		if !ok || h.length != unknownLength && h.length != n {
			return Framing
		}
		h.length = n
	case l.hasName("transfer-encoding"):
		// HTTP/1.0 has no transfer codings, and no request accepts any but this one.
		if h.isOld || h.isChunked || !l.hasValue("chunked") {
			return Framing
		}
		h.isChunked = true
	}
	return nil
}

// framing returns how the response ends. A response to a request with the method HEAD has no body.
func (h *head) framing(isBodyless bool) (framing, error) {
	switch {
	case h.isChunked && h.length != unknownLength:
		// A server must not send both, and one of the two would be ignored.
		return noBody, Framing
	case h.status == switchingProtocols:
		return upgrade, nil
	case h.status < minFinalStatus:
		return interim, nil
	case isBodyless || h.status == noContent || h.status == notModified || h.length == 0:
		return noBody, nil
	case h.isChunked:
		return inChunks, nil
	case h.length > 0:
		return withLength, nil
	default:
		return toClose, nil
	}
}
