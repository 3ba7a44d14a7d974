package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scripts["early"] = runEarly }

const (
	earlyClients = 8
	// uploadsPerClient is the number of uploads of each client, uploadBytes their length and
	// receiptBytes that of their answers.
	uploadsPerClient = 3
	uploadBytes      = 1000000
	receiptBytes     = 30000
	// fewCloses is the number of closes without an answer that the rule allows.
	fewCloses = 3
)

const earlyConfiguration = `{"version":3,"services":[{"name":"atelier","healthPath":"/health","maxConns":260,"warmupS":3.0,"warmupPerS":6.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"hosts":[{"host":"jepu9.example","paths":[{"name":"look","pathPrefix":"/look/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":1500,"priority":2,"service":"atelier","maxAttempts":1},
{"name":"upload","pathPrefix":"/upload/","routeType":"upload","timeoutMs":3000,"targetLatencyMs":1500,"priority":1,"service":"atelier","maxAttempts":1}]}]}`

// runEarly lets clients send uploads on kept connections. With the disruption, servers answer before
// they have read the whole body, and read on.
func runEarly(y *yard, hasTrouble bool) (isBroken bool, err error) {
	y.publish(earlyConfiguration)
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-atelier-%d", i+1), service: "atelier", zone: zones[i%len(zones)], slots: 4, answerBytes: receiptBytes, answersEarly: hasTrouble, work: func(*http.Request) time.Duration { return 70 * time.Millisecond }}
		if err := y.addServer(s); err != nil {
			return false, err
		}
	}
	for range 3 {
		if _, err := y.addNode(); err != nil {
			return false, err
		}
	}
	if err := y.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	clients := make([]*uploader, earlyClients)
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = &uploader{yard: y, number: i}
		wg.Go(func() {
			for range uploadsPerClient {
				clients[i].run(y.nodes[0].front)
			}
		})
	}
	wg.Wait()
	return y.judgeEarly(clients), nil
}

// uploader sends a safe request and then an upload on the same connection.
type uploader struct {
	yard   *yard
	number int
	count  int
	// complete counts the whole answers to uploads, and cut holds those without one.
	complete int
	cut      []string
}

func (u *uploader) run(address string) {
	conn, err := dialSlow(address)
	if err != nil {
		u.yard.record.printf("client %d: %v", u.number, err)
		return
	}
	defer conn.Close()
	// An error shows in the reads that follow.
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	r := bufio.NewReader(conn)
	u.count++
	id := fmt.Sprintf("%04x%012x", u.number, u.count)
	fmt.Fprintf(conn, "GET /look/%s HTTP/1.1\r\nHost: jepu9.example\r\nX-Apricotmount-Attempt-Id: %s\r\nX-Apricotmount-Deadline-Ms: 3000\r\n\r\n", id, id)
	if _, ok := u.read(r, id); !ok {
		u.yard.record.printf("client %d: the first request of the connection failed", u.number)
		return
	}
	u.count++
	id = fmt.Sprintf("%04x%012x", u.number, u.count)
	u.yard.record.printf("client %d sends upload %s on its kept connection", u.number, id)
	go func() {
		// An error means that the connection has ended, which the answer shows.
		fmt.Fprintf(conn, "POST /upload/%s HTTP/1.1\r\nHost: jepu9.example\r\nX-Apricotmount-Attempt-Id: %s\r\nX-Apricotmount-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", id, id, uploadBytes)
		_, _ = conn.Write(bytes.Repeat([]byte("u"), uploadBytes))
	}()
	if _, ok := u.read(r, id); !ok {
		u.cut = append(u.cut, id)
		return
	}
	u.complete++
}

// read reads an answer, and reports whether it is whole.
func (u *uploader) read(r *bufio.Reader, id string) (status int, isWhole bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		u.yard.record.printf("client %d gets no answer to %s: %v", u.number, id, err)
		return 0, false
	}
	body, err := io.ReadAll(resp.Body)
	u.yard.record.printf("client %d gets %d for %s, %d of %d bytes (%v)", u.number, resp.StatusCode, id, len(body), resp.ContentLength, err)
	return resp.StatusCode, err == nil
}

// judgeEarly returns whether more than a few connections were closed without an answer to a request
// that had been passed on to a server.
func (y *yard) judgeEarly(clients []*uploader) (isBroken bool) {
	ran := map[string]bool{}
	for _, r := range y.allRuns() {
		ran[r.id] = true
	}
	complete, lost := 0, 0
	for _, c := range clients {
		complete += c.complete
		for _, id := range c.cut {
			if ran[id] {
				lost++
				y.record.printf("%s was passed on to a server, which has answered it, and its client has no whole answer", id)
			}
		}
	}
	y.record.printf("uploads with a whole answer: %d; without: %d", complete, lost)
	return lost > fewCloses
}
