package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const uploadConfiguration = `{"version":7,"routes":[
{"name":"r-archive","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":6000,"sloMs":1200,"priority":2,
"service":"wuno96b","maxAttempts":1,"retain":false,"sticky":false,"resumable":false}],
"services":[{"name":"wuno96b","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	uploadReplicas = 15
	uploadNodes    = 3
	// uploadClients is the number of clients of each zone, burstClients that in a burst.
	uploadClients = 12
	burstClients  = 27
	// bodyBytes is the configuration's maxBodyBytes.
	bodyBytes     = 4194304
	uploadTimeout = 6 * time.Second
	bursts        = 3
	burstTime     = 4500 * time.Millisecond
	burstPause    = 7 * time.Second
)

// writeUpload sends a request with a body of bodyBytes, in chunks or with a length.
func writeUpload(connection net.Conn, id string, chunked bool) {
	const chunkBytes = 64 << 10
	framing := "Transfer-Encoding: chunked"
	if !chunked {
		framing = fmt.Sprintf("Content-Length: %d", bodyBytes)
	}
	writer := bufio.NewWriterSize(connection, chunkBytes)
	_, _ = fmt.Fprintf(writer, "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Stepseam-Request-Id: %s\r\nX-Stepseam-Timeout-Ms: %d\r\n%s\r\n\r\n",
		id, uploadTimeout.Milliseconds(), framing)
	chunk := strings.Repeat("x", chunkBytes)
	for left := bodyBytes; left > 0; left -= chunkBytes {
		part := chunk[:min(left, chunkBytes)]
		if chunked {
			_, _ = fmt.Fprintf(writer, "%x\r\n", len(part))
		}
		_, _ = writer.WriteString(part)
		if chunked {
			_, _ = writer.WriteString("\r\n")
		}
	}
	if chunked {
		_, _ = writer.WriteString("0\r\n\r\n")
	}
	_ = writer.Flush() // an error shows when the answer is read
}

// upload sends one request on a new connection and reads the answer. It returns how long the
// client waits before its next request.
func (s *site) upload(target *node, id string, chunked bool, counts *answers) time.Duration {
	const pause = 300 * time.Millisecond
	connection, err := net.DialTimeout("tcp4", target.clients(), time.Second)
	if err != nil {
		counts.count(&counts.no)
		return pause
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(uploadTimeout))
	s.note("sent     %s to %s: %d bytes", id, target.name, bodyBytes)
	go writeUpload(connection, id, chunked)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		s.note("answered %s by %s: none: %v", id, target.name, err)
		counts.count(&counts.cut)
		return pause
	}
	s.note("answered %s by %s: status=%d", id, target.name, response.StatusCode)
	if response.StatusCode == http.StatusOK {
		counts.count(&counts.served)
		return 0
	}
	counts.count(&counts.refused)
	return pause
}

// runClients runs one zone's clients until stop is closed. Each has one request at a time.
func (s *site) runClients(target *node, name string, number int, chunked bool, counts *answers, stop <-chan struct{}) *sync.WaitGroup {
	var clients sync.WaitGroup
	for client := range number {
		clients.Go(func() {
			for request := 0; ; request++ {
				pause := s.upload(target, fmt.Sprintf("%s-%d-%d-%d", name, target.number, client, request), chunked, counts)
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	return &clients
}

// playUpload lets clients send bodies in chunks, within the limits of the configuration, to nodes
// whose processes the platform ends when they exceed their memory. The trouble is bursts.
func playUpload(recordFile string, trouble bool) {
	s := newSite(recordFile, smallMemoryMiB)
	publishConfiguration(s.log, uploadConfiguration)
	for number := range uploadReplicas {
		s.startReplica(number, profile{service: "wuno96b", slots: 6, work: 312 * time.Millisecond})
	}
	s.startNodes(uploadNodes)
	time.Sleep(time.Second)

	chunked := os.Getenv("BODY") != "length"
	counts, guards := &answers{}, make([]memoryGuard, uploadNodes)
	stopGuards, stopUsual := make(chan struct{}), make(chan struct{})
	var watching sync.WaitGroup
	var usual []*sync.WaitGroup
	for number, one := range s.nodes {
		watching.Go(func() { guards[number].watch(one, stopGuards) })
		usual = append(usual, s.runClients(one, "usual", uploadClients, chunked, counts, stopUsual))
	}
	for burst := range bursts {
		time.Sleep(burstPause)
		stop := make(chan struct{})
		var extra []*sync.WaitGroup
		for _, one := range s.nodes {
			if trouble {
				extra = append(extra, s.runClients(one, fmt.Sprint("burst", burst), burstClients-uploadClients, chunked, counts, stop))
			}
		}
		time.Sleep(burstTime)
		close(stop)
		for _, clients := range extra {
			clients.Wait()
		}
	}
	close(stopUsual)
	for _, clients := range usual {
		clients.Wait()
	}
	close(stopGuards)
	watching.Wait()
	s.judgeMemory(guards, counts)
}
