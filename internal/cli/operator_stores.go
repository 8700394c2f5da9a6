package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxMetricsBytes bounds the metrics of one balancer.
const maxMetricsBytes = 4 << 20

// storeView is what one balancer on the users' platform knows of the store.
type storeView struct {
	Address string `json:"address"`
	VM      string `json:"vm,omitempty"`
	Place   string `json:"place,omitempty"`
	// Era is the latest era of the store that the balancer has seen or whose data it has, DataEra
	// that of its data.
	Era     uint64 `json:"era"`
	DataEra uint64 `json:"data_era"`
	// ReturnedAt is when the balancer's own calls showed the last return, nil if they did not. ReadAnewAt is when it first had
	// data of the era.
	ReturnedAt *time.Time `json:"returned_at,omitempty"`
	ReadAnewAt *time.Time `json:"read_anew_at,omitempty"`
	Returns    int        `json:"returns"`
	// InvalidEra is set while the store does not state its era.
	InvalidEra bool   `json:"invalid_era"`
	Revision   uint64 `json:"revision"`
	Version    uint64 `json:"version"`
	Error      string `json:"error,omitempty"`
}

// storesReport is the state of the store as several balancers know it.
type storesReport struct {
	Era       uint64      `json:"era"`
	Balancers []storeView `json:"balancers"`
	Attention []string    `json:"attention"`
}

// reportStores prints what the balancers with the given metrics addresses know of the store.
func (c *statusCommand) reportStores() error {
	if len(c.Balancers) > 0 || c.Local || c.Targets || c.Counters {
		return usageError("--metrics takes only --json besides")
	}
	if err := checkBalancerAddresses("--metrics", c.Metrics, "10.0.0.1:9464"); err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	views := queryStoreViews(ctx, c.Metrics)
	report := newStoresReport(views)
	if !slices.ContainsFunc(views, func(v storeView) bool { return v.Error == "" }) {
		return &ExitError{Code: ExitUnknown, Err: errors.Errorf("no balancer answers: %s", report.Attention[0])}
	}
	var err error
	if c.JSON {
		err = printJSON(c.streams, report)
	} else {
		err = report.print(c.streams.Out)
	}
	if err == nil && len(report.Attention) > 0 {
		err = errors.Errorf("%s", pluralize(len(report.Attention), "thing")+" to attend to")
	}
	return err
}

// queryStoreViews reads the metrics of the balancers, in the order of their addresses.
func queryStoreViews(ctx context.Context, addresses []string) []storeView {
	views := make([]storeView, len(addresses))
	queryConcurrently(addresses, func(i int, address string) {
		view, err := queryStoreView(ctx, address)
		if err != nil {
			view = storeView{Error: err.Error()}
		}
		view.Address = address
		views[i] = view
	})
	return views
}

func queryStoreView(ctx context.Context, address string) (storeView, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return storeView{}, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return storeView{}, errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return storeView{}, errors.Errorf("HTTP status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return storeView{}, errors.WithStack(err)
	}
	return decodeStoreView(data)
}

// decodeStoreView decodes the metrics of a balancer.
func decodeStoreView(data []byte) (storeView, error) {
	var vars struct {
		Kumquatworks *struct {
			Balancer struct{ VM, Place string } `json:"balancer"`
			Store    *struct {
				Era, Returns uint64
				ReturnedAt   *time.Time
				Invalid      bool
			} `json:"store"`
			State struct {
				RoutesVersion, Era, Revision uint64
				EraSince                     *time.Time
			} `json:"state"`
		} `json:"kumquatworks"`
	}
	if err := json.Unmarshal(data, &vars); err != nil {
		return storeView{}, errors.Wrap(err, "decode the metrics")
	}
	k := vars.Kumquatworks
	if k == nil || k.Store == nil {
		return storeView{}, errors.New("the metrics have no figures about the store; is this a balancer of the users' platform, of this version?")
	}
	if k.Store.Era < k.State.Era {
		k.Store.ReturnedAt = nil // of an earlier return: a parent has supplied the data since the last one
	}
	return storeView{
		VM: k.Balancer.VM, Place: k.Balancer.Place, Era: max(k.Store.Era, k.State.Era), DataEra: k.State.Era, ReturnedAt: k.Store.ReturnedAt,
		ReadAnewAt: k.State.EraSince, Returns: int(k.Store.Returns), InvalidEra: k.Store.Invalid, Revision: k.State.Revision, Version: k.State.RoutesVersion,
	}, nil
}

// newStoresReport compares what balancers know of the store.
func newStoresReport(views []storeView) storesReport {
	report := storesReport{Balancers: views, Attention: []string{}}
	var version uint64
	for _, v := range views {
		report.Era, version = max(report.Era, v.Era), max(version, v.Version)
	}
	for _, v := range views {
		switch {
		case v.Error != "":
			report.Attention = append(report.Attention, fmt.Sprintf("%s: does not answer: %s", v.Address, v.Error))
			continue
		case v.DataEra < report.Era:
			report.Attention = append(report.Attention, fmt.Sprintf("%s: has data of era %d and has not read the store anew, which is in era %d", v.name(), v.DataEra, report.Era))
		}
		if v.Version < version {
			report.Attention = append(report.Attention, fmt.Sprintf("%s: has version %d in force, another balancer has %d", v.name(), v.Version, version))
		}
		if v.InvalidEra {
			report.Attention = append(report.Attention, fmt.Sprintf("%s: the store does not state its era", v.name()))
		}
	}
	return report
}

func (v storeView) name() string {
	if v.VM != "" {
		return v.VM
	}
	return v.Address
}

// print prints the report as text.
func (r storesReport) print(out io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "store in era %d; figures from %d balancers, asked now\n", r.Era, len(r.Balancers))
	table := newTable(&b, "BALANCER\tPLACE\tERA\tDATA OF ERA\tRETURN SEEN\tDATA ANEW SINCE\tREVISION\tVERSION")
	for _, v := range r.Balancers {
		if v.Error == "" {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d\n", v.name(), v.Place, v.Era, v.DataEra, formatTime(v.ReturnedAt), formatTime(v.ReadAnewAt), v.Revision, v.Version)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if len(r.Attention) == 0 {
		fmt.Fprintln(&b, "attention: nothing")
	}
	for _, line := range r.Attention {
		fmt.Fprintln(&b, "attention:", line)
	}
	_, err := b.WriteTo(out)
	return errors.WithStack(err)
}

// formatTime formats a time, "-" if there is none.
func formatTime(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}
