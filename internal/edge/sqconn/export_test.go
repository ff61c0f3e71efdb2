package sqconn

import "net/http"

// Written returns a channel that is closed once the sending of an answer's request has ended.
func Written(answer *http.Response) <-chan struct{} { return answer.Body.(*body).x.written }
