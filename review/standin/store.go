package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/logstore"
)

// lengthBytes is the size of the length before each record of a body.
const lengthBytes = 4

// storeServer serves the platform's store over HTTP from the project's emulator.
type storeServer struct{ log *store.Store }

// ServeHTTP implements http.Handler.
func (s storeServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	number, _ := strconv.Atoi(query.Get("part"))
	place := logstore.Partition{Topic: query.Get("topic"), Number: number}
	switch request.Method + " " + request.URL.Path {
	case "POST /api/log-append":
		s.append(writer, request, place)
	case "GET /api/log-read":
		s.read(writer, request, place)
	case "GET /api/log-newest":
		s.newest(writer, request, place)
	default:
		http.NotFound(writer, request)
	}
}

func (s storeServer) append(writer http.ResponseWriter, request *http.Request, place logstore.Partition) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	query := request.URL.Query()
	epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(query.Get("seq"), 10, 64)
	appended := logstore.AppendRequest{Partition: place, Producer: query.Get("producer"), Epoch: epoch, Sequence: sequence}
	for len(body) >= lengthBytes {
		size := lengthBytes + int(binary.BigEndian.Uint32(body))
		record := body[lengthBytes:size]
		if strings.HasPrefix(place.Topic, "keyed.") {
			keyEnd := 1 + int(record[0])
			appended.Keys = append(appended.Keys, string(record[1:keyEnd]))
			record = record[keyEnd:]
		}
		appended.Records = append(appended.Records, record)
		body = body[size:]
	}
	result, err := s.log.Append(request.Context(), appended)
	switch {
	case errors.Is(err, logstore.ErrFenced):
		writeJSON(writer, http.StatusConflict, map[string]any{"why": "fenced"})
	case errors.Is(err, logstore.ErrSequence):
		writeJSON(writer, http.StatusConflict, map[string]any{"why": "seq"})
	case errors.Is(err, logstore.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case err != nil:
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(writer, http.StatusOK, map[string]any{"offset": result.First, "end": result.End})
	}
}

func (s storeServer) read(writer http.ResponseWriter, request *http.Request, place logstore.Partition) {
	query := request.URL.Query()
	from, _ := strconv.ParseUint(query.Get("fromRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	kibibytes, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		kibibytes = 1024
	}
	result, err := s.log.Read(request.Context(), logstore.ReadRequest{
		Partition: place, From: logstore.Offset(from), MaxBytes: kibibytes << 10, Wait: time.Duration(wait) * time.Millisecond,
	})
	var trimmed *logstore.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		writeJSON(writer, http.StatusGone, map[string]any{"first": trimmed.First})
		return
	case err != nil:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := binary.BigEndian.AppendUint64(nil, uint64(result.End))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for _, record := range result.Records {
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(record)))
		answer = append(answer, record...)
	}
	_, _ = writer.Write(answer)
}

func (s storeServer) newest(writer http.ResponseWriter, request *http.Request, place logstore.Partition) {
	result, err := s.log.Newest(request.Context(), logstore.NewestRequest{Partition: place, After: request.URL.Query().Get("after")})
	if err != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	page := []map[string]any{}
	for _, item := range result.Items {
		page = append(page, map[string]any{"key": item.Key, "value": item.Value})
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": page, "more": result.More, "end": result.End})
}

func writeJSON(writer http.ResponseWriter, status int, document any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(document)
}
