package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// pieces is the number of pieces in which an upload is sent, and pieceSize the size of each.
	pieces    = 6
	pieceSize = 8000
	// pieceInterval is the time between two pieces, so that an upload takes 4 s.
	pieceInterval = 800 * time.Millisecond
)

// upload is an upload of recorded requests, and the order that follows it on its connection.
type upload struct {
	from     *machine
	id       string
	recorded []string // the ids of the earlier orders that its body is a recording of
	status   int
	order    *request
	problem  string
}

// expectCase shortens the time-out of a route of uploads. Requesters send a recording of
// earlier orders as an upload, in chunks and with Expect: 100-continue, and go on sending
// when the time-out of the upload has passed.
func expectCase(w *world) verdict {
	w.setGrown(214)
	w.addMachine("hu-east-a", "fuvar")
	w.addMachine("hu-east-b", "rendeles")
	w.addMachine("hu-east-c", "rendeles")
	uploads := route{name: "delivery-docs", host: "docs.example", prefix: "/docs/", kind: "upload", service: "fuvar", timeoutS: 8, targetS: 1.2, priority: 1, attempts: 2}
	orders := route{name: "order-charge", host: "orders.example", prefix: "/orders/", kind: "non_idempotent", service: "rendeles", timeoutS: 3, targetS: 1, priority: 1, attempts: 2}
	w.store.put("config", "main", config("0000000c", []route{uploads, orders}, nil, "fuvar", "rendeles"))
	w.begin()
	if w.trouble {
		uploads.timeoutS = 2
		w.store.put("config", "main", config("0000000f", []route{uploads, orders}, nil, "fuvar", "rendeles"))
	}
	time.Sleep(4 * time.Second) // configS 2.5, and 1.5 s
	const uploadsPerMachine = 4
	done := make(chan *upload)
	var sent []*upload
	for _, m := range w.machines {
		for range uploadsPerMachine {
			go func() { done <- w.sendUpload(m, w.sendEarlierOrders(m)) }()
		}
	}
	for range uploadsPerMachine * len(w.machines) {
		sent = append(sent, <-done)
	}
	return w.judgeExpect(sent)
}

// sendEarlierOrders sends as many orders as an upload has pieces, and returns their ids.
func (w *world) sendEarlierOrders(m *machine) []string {
	var ids []string
	for range pieces {
		r := w.send(&request{method: http.MethodPost, host: "orders.example", path: "/orders/earlier", from: m, body: 300, budget: 6 * time.Second})
		if r.status != http.StatusOK {
			panic("an order before the uploads was not answered")
		}
		ids = append(ids, r.id)
	}
	return ids
}

// sendUpload sends an upload of a recording of earlier orders and, once it is sent and
// answered, an order on the same connection.
func (w *world) sendUpload(m *machine, recorded []string) *upload {
	u := &upload{from: m, id: newRequestID(), recorded: recorded, order: &request{id: newRequestID(), method: http.MethodPost, host: "orders.example", path: "/orders/own", from: m, begin: time.Now()}}
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		u.problem = "no connection: " + err.Error()
		return u
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	answers := bufio.NewReader(conn)
	if u.problem = u.send(conn, answers); u.problem != "" {
		return u
	}
	w.record("%s: upload %s, sent whole, got %d", m.id, u.id, u.status)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n", u.order.path, u.order.host, u.order.id); err != nil {
		u.order.problem = err.Error()
		return u
	}
	u.order.problem = u.order.readAnswer(answers)
	w.record("%s: order %s, sent behind it, got %d of %q: %q (%s)", m.id, u.order.id, u.order.status, u.order.answeredID, u.order.answered, u.order.problem)
	return u
}

// send sends the upload and reads its answer. It returns what went wrong.
func (u *upload) send(conn net.Conn, answers *bufio.Reader) string {
	head := fmt.Sprintf("POST /docs/recording HTTP/1.1\r\nHost: docs.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n", u.id)
	if expects() {
		head += "Expect: 100-continue\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return err.Error()
	}
	if expects() {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err.Error()
		}
		if resp.StatusCode != http.StatusContinue {
			return fmt.Sprintf("not asked for the body, got %d", resp.StatusCode)
		}
	}
	if _, err := fmt.Fprintf(conn, "%x\r\n", pieces*pieceSize); err != nil { // one chunk
		return err.Error()
	}
	for i := range pieces {
		if i > 0 {
			time.Sleep(pieceInterval)
		}
		if _, err := io.WriteString(conn, u.piece(i)); err != nil {
			return err.Error()
		}
	}
	if _, err := io.WriteString(conn, "\r\n0\r\n\r\n"); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err.Error()
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	u.status = resp.StatusCode
	return ""
}

// expects reports whether uploads are sent with Expect: 100-continue. Without it, the case
// is a control.
func expects() bool { return os.Getenv("EXPECT") != "0" }

// recordedPath is the path of the recorded orders.
const recordedPath = "/orders/recorded"

// piece returns a recorded order, as long as a piece.
func (u *upload) piece(i int) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: 00000\r\n\r\n", recordedPath, u.recorded[i])
	body := pieceSize - len(head)
	return strings.Replace(head, "00000", fmt.Sprintf("%05d", body), 1) + strings.Repeat("-", body)
}

// judgeExpect counts the orders that got an answer which belongs to another request, and
// the recorded orders that an endpoint ran again.
func (w *world) judgeExpect(sent []*upload) verdict {
	runs := w.runs()
	smuggled, foreign, own, other, closed := 0, 0, 0, 0, 0
	for _, u := range sent {
		for _, id := range u.recorded {
			for _, x := range runs[id] {
				if x.path != recordedPath {
					continue
				}
				smuggled++
				w.record("recorded order %s, which was a part of the body of %s, ran at %s as %s %s", id, u.id, x.endpoint, x.method, x.path)
			}
		}
		switch {
		case u.problem != "" || u.order.status == 0:
			closed++
			w.record("%s: upload %s: %s; order %s: %s", u.from.id, u.id, u.problem, u.order.id, u.order.problem)
		case u.order.answeredID == u.order.id:
			own++
		case !slices.Contains(u.recorded, u.order.answeredID):
			other++
			w.record("%s: order %s got %d without the id of a request: %q", u.from.id, u.order.id, u.order.status, u.order.answered)
		default:
			foreign++
			w.record("MIXED: order %s got an answer that belongs to the earlier order %s: %d %q", u.order.id, u.order.answeredID, u.order.status, u.order.answered)
		}
	}
	if !w.trouble && own != len(sent) {
		panic("an order behind an upload did not get its answer, without trouble")
	}
	return verdict{broken: foreign > 0, text: fmt.Sprintf("MIXED: of %d orders sent behind an upload, %d got the answer of an earlier order, %d an answer without the id of a request, %d their own; %d connections were closed before. Recorded orders that ran again: %d",
		len(sent), foreign, other, own, closed, smuggled)}
}
