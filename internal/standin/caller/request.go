package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/kumquatworks/kumquatworks/internal/standin/exchange"
)

// errMismatch marks a response that does not match the request.
var errMismatch = errors.New("response does not match the request")

// errShed marks a response with which the target reports that it did not run the
// request or open the feed: its queue was full, the deadline passed or it is stopping.
var errShed = errors.New("not run by the target")

// RequestOptions are the parameters of one request. DeadlineMS limits the wait for a
// slot; 0 means no limit.
type RequestOptions struct {
	// WorkMS is how long the request occupies a slot of the target.
	WorkMS        int
	ResponseBytes int
	UploadBytes   int
	DeadlineMS    int
}

// Request opens a connection, sends one request on it and counts the outcome.
func (c *Caller) Request(ctx context.Context, options RequestOptions) {
	number := c.nextFlowNumber()
	c.updateReport(func(r *Report) { r.Requests++ })
	f, err := c.open(ctx, number, false)
	if err != nil {
		c.countOpenFailure(c.requestID(number), err)
		return
	}
	defer f.close()
	target, err := c.roundTrip(ctx, f, c.newRequest(number, options))
	c.countResponse(c.requestID(number), target, err)
}

func (c *Caller) newRequest(number uint64, options RequestOptions) exchange.Request {
	return exchange.Request{
		ID: c.requestID(number), Service: c.options.Service, Kind: exchange.KindRequest,
		WorkMS: options.WorkMS, BodyBytes: options.ResponseBytes, UploadBytes: options.UploadBytes, DeadlineMS: options.DeadlineMS,
	}
}

// countOpenFailure counts a request or feed whose connection could not be opened.
func (c *Caller) countOpenFailure(id string, err error) {
	c.updateReport(func(r *Report) {
		switch {
		case errors.Is(err, errRefused):
			r.NotRun++
			r.NotRunIDs = append(r.NotRunIDs, id)
		case isConnectionRefused(err):
			r.Shed++
		default:
			r.Unknown++
			r.countError(id + ": open: " + err.Error())
		}
	})
}

// countResponse counts the outcome of a request, or of a feed that failed to open, on
// an established connection.
func (c *Caller) countResponse(id, target string, err error) {
	c.updateReport(func(r *Report) {
		switch {
		case err == nil:
			r.Complete++
			r.Targets[target]++
		case errors.Is(err, errShed):
			r.Shed++
		case errors.Is(err, errMismatch):
			r.Mismatched++
			r.countError(id + ": " + err.Error())
		default:
			r.Broken++
			r.countError(id + ": " + err.Error())
		}
	})
}

// roundTrip sends the request and checks the response. It returns the name of the
// target that the response header carries.
func (c *Caller) roundTrip(ctx context.Context, f *flow, request exchange.Request) (string, error) {
	stream, err := f.quicConn.OpenStreamSync(ctx)
	if err != nil {
		return "", errors.WithStack(err)
	}
	_ = stream.SetDeadline(time.Now().Add(c.options.ResponseTimeout))
	upload := exchange.Body("upload "+request.ID, request.UploadBytes)
	if err := exchange.WriteLine(stream, request); err != nil {
		return "", err
	}
	if _, err := stream.Write(upload); err != nil {
		return "", errors.WithStack(err)
	}
	target, err := readResponse(exchange.NewReader(stream), request, upload)
	if err != nil {
		return target, err
	}
	return target, confirmResponse(stream)
}

// confirmResponse closes the caller's side of the stream, which confirms to the target
// that the complete response arrived.
func confirmResponse(stream *quic.Stream) error { return errors.WithStack(stream.Close()) }

// readHeader reads the header of a response and checks that it names the ID and the
// service of the request.
func readHeader(reader *bufio.Reader, request exchange.Request) (exchange.Header, error) {
	var header exchange.Header
	if err := exchange.ReadLine(reader, &header); err != nil {
		return header, err
	}
	if header.ID != request.ID || header.Service != request.Service {
		return header, errors.Wrapf(errMismatch, "header is for request %s from service %s, expected service %s", header.ID, header.Service, request.Service)
	}
	return header, nil
}

// readResponse reads a response, checks it against the request and returns the name
// of the target.
func readResponse(reader *bufio.Reader, request exchange.Request, upload []byte) (string, error) {
	header, err := readHeader(reader, request)
	if err != nil {
		return header.Target, err
	}
	body := make([]byte, header.BodyBytes)
	if _, err := io.ReadFull(reader, body); err != nil {
		return header.Target, errors.Wrap(err, "read response body")
	}
	var trailer exchange.Trailer
	if err := exchange.ReadLine(reader, &trailer); err != nil {
		return header.Target, errors.Wrap(err, "read response trailer")
	}
	if header.Status != exchange.StatusOK {
		return header.Target, errShed
	}
	if trailer.ID != request.ID || trailer.Digest != exchange.Digest(upload) || !bytes.Equal(body, exchange.Body(request.ID, request.BodyBytes)) {
		return header.Target, errors.Wrap(errMismatch, "body")
	}
	return header.Target, nil
}
