package main

import (
	"bytes"
	"fmt"
	"mime/multipart"
	"time"
)

const formCount = 20

// form returns a form as browsers and command-line clients send it, and its content type.
func form(n int) (body []byte, contentType string) {
	var b bytes.Buffer
	w := multipart.NewWriter(&b)
	for _, field := range []string{"card", "amount", "currency", "reference"} {
		w.WriteField(field, fmt.Sprintf("%s of form %d", field, n))
	}
	file, _ := w.CreateFormFile("receipt", "receipt.txt")
	fmt.Fprintf(file, "receipt %d\n", n)
	w.Close()
	return b.Bytes(), w.FormDataContentType()
}

// formsCase posts forms, and compares what endpoints run with what was sent. Without trouble the
// same bodies are sent under a plain content type.
func formsCase(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 2)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.configure([]route{{"shop.example", "/pay/", "unsafe", "ledger", 3, 0.5}}); err != nil {
		return false, err
	}
	ledger, err := f.endpoints("ledger", 3, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := f.awaitCalm(); err != nil {
		return false, err
	}
	sent := map[string]string{}
	for n := range formCount {
		m := f.fronts[n%len(f.fronts)]
		body, contentType := form(n)
		if !trouble {
			contentType = "application/octet-stream"
		}
		q := &request{id: fmt.Sprintf("form-%d", n), method: "POST", host: "shop.example", uri: "/pay/x", contentType: contentType, deadline: payDeadline, body: body}
		sent[q.id] = sumOf(body)
		r.printf("send     id=%s to %s %s %s type=%q body=%d sha256=%s", q.id, m.name, q.method, q.uri, contentType, len(body), sent[q.id])
		c, err := dial(f.address(m, "front"))
		if err != nil {
			return false, err
		}
		a, err := c.send(q)
		c.Close()
		r.printf("answer   id=%s %d stamp=%s %v", q.id, a.status, a.stamp, err)
	}
	changed, ran := 0, 0
	for _, e := range ledger {
		for _, x := range e.all() {
			ran++
			if x.sum != sent[x.id] {
				changed++
				r.printf("changed  id=%s was sent as sha256=%s and ran as sha256=%s", x.id, sent[x.id], x.sum)
			}
		}
	}
	r.printf("result   %d requests sent, %d run, %d of them with a changed body (the rule allows none)", formCount, ran, changed)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}
