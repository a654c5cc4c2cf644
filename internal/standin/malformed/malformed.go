// Package malformed has answers that HTTP/1.1 does not allow, for the tests of clients.
//
//	for name, answer := range malformed.Answers("Id: " + id) {
//		...
//	}
package malformed

// Answers returns answers by the names of their faults. Each has the field, and is a success with the
// body "ok" to a lenient parser.
func Answers(field string) map[string]string {
	const (
		length  = "Content-Length: 2\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
		chunks  = "2\r\nok\r\n0\r\n\r\n"
	)
	status := "HTTP/1.1 200 OK\r\n" + field + "\r\n"
	return map[string]string{
		"status 000":                "HTTP/1.1 000 Odd\r\n" + field + "\r\n" + length + "\r\nok",
		"status 099":                "HTTP/1.1 099 Odd\r\n" + field + "\r\n" + length + "\r\nok",
		"status 999":                "HTTP/1.1 999 Odd\r\n" + field + "\r\n" + length + "\r\nok",
		"another protocol":          "HTTP/2.0 200 OK\r\n" + field + "\r\n" + length + "\r\nok",
		"a blank in a name":         status + "X y: 1\r\n" + length + "\r\nok",
		"a blank after a length":    status + "Content-Length : 2\r\n\r\nok",
		"a blank after an encoding": status + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"a control byte in a name":  status + "X\x01y: 1\r\n" + length + "\r\nok",
		"a control byte in a value": status + "X: a\x01\r\n" + length + "\r\nok",
		"a folded field":            status + "X: y\r\n z\r\n" + length + "\r\nok",
		"a length and chunks":       status + length + chunked + "\r\n" + chunks,
		"unequal lengths":           status + length + "Content-Length: 1\r\n\r\nok",
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + field + "\r\n" + chunked + "\r\n" + chunks,
		"a switch of protocol":      "HTTP/1.1 101 Switching Protocols\r\n" + field + "\r\nUpgrade: x\r\n\r\n",
		"an interim answer's name":  "HTTP/1.1 103 Early Hints\r\nX y: 1\r\n\r\n" + status + length + "\r\nok",
		"a blank after a size":      status + chunked + "\r\n2 \r\nok\r\n0\r\n\r\n",
		"a trailer's name":          status + chunked + "\r\n2\r\nok\r\n0\r\nX y: 1\r\n\r\n",
		"a trailer's value":         status + chunked + "\r\n2\r\nok\r\n0\r\nX: \x01\r\n\r\n",
	}
}
