package gate

import (
	"fmt"
	"strings"
	"time"

	"dogwoodfold/internal/topo"
)

// The sites but the plain one have the figures of the site files of the same names, except
// for four. What has a distribution there has its mean here; engines read prompts in half to
// one and a half times the mean time. Engines have room for the number of models that the
// files give as resident, or one more if most are small. All models of a route are asked
// for, as after demand has moved between them. Models are equally fast.

// simSites has a row for each site: the engines, the slots, the queue and the KV cache
// (tokens) of each, its memory (MB), the numbers of models that it begins with, keeps in
// memory and on disk, the loads per second of the store, the time between two events (ms)
// and the new streams per second of all routes.
const simSites = `
plain            9 64  16 500000 200 3 4 8 1.3 30     1
ngoma-book       9 64 192 130206 150 2 2 5 1.1 21 51.39
tt-gira         12 64 134 147444 220 3 2 6 1.4 21 75.07
hanmaru-payslip 18 32  67 128464 150 2 2 5 2.6 27 124.2
tt-gira-large  160 16  33  64342 220 3 2 6  23 66    53
`

// simRoutes has a row for each route of a site: the new streams per second, whether they are
// resumable, the attempts, the priority, the objective, the objective of gaps and the
// timeout (ms each), the events of a stream, the tokens of a prompt, the least and the
// longest time to read it (ms), the numbers of instructions and of documents, the power of
// the documents' rank, the first and the last model and the power of the models' rank.
const simRoutes = `
plain           plan                      1 true  2 0   600 300 15000 60 1500 50 100 5 300   1  0 12   1
ngoma-book      offer-draft            29.5 false 1 1   600 300 15000 86 1460 38 114 3  55 0.3  0  4 0.4
ngoma-book      season-plan            4.09 true  2 2  6000 300 25000 86 1460 38 114 1   2 0.3  5 12 0.4
ngoma-book      troupe-faq             17.8 false 1 0   500 300 10000 35  646 17  50 3  75 0.3  0  4 0.4
tt-gira         fan-summary            44.6 false 1 1   600 300 15000 86 1460 36 107 3 189 0.3  0  4 0.4
tt-gira         recon-notes            3.87 true  2 1 10000 300 30000 86 1460 36 107 1   2 0.3  5 20 0.4
tt-gira         booth-hint             26.6 false 1 0   500 300 10000 35  646 16  48 3  50 0.3  0  4 0.4
hanmaru-payslip deduction-explain      86.3 true  2 1   250 250 12000 58  826 11  32 3 183 0.3  0  9 0.4
hanmaru-payslip sheet-draft-night      12.0 false 1 1  4000 250 20000 58  826 11  32 1   2 0.3 10 25 0.4
tt-gira-large   recon-notes              53 true  2 1 10000 400 30000 29 1110  30  90 1   2 0.3  0 99 0.4
hanmaru-payslip sample-dispute-summary 25.9 true  2 0   400 250  3000  5 2368 31  92 3  54 0.3  0  9 0.4
`

// plainSite has one resumable route, whose clients use all models.
var plainSite = newSimSite("plain", nil)

// ngomaBook is the site of the incident. Few of its streams may be resumed, at a route
// with a long objective, of the lowest rank, with models of its own.
var ngomaBook = newSimSite("ngoma-book", siteModels("abbcbcbabbcba", map[rune]topo.Model{
	'a': siteModel(65.1, 7800*time.Millisecond, 1200*time.Millisecond, 1600*time.Millisecond),
	'b': siteModel(72.7, 8600*time.Millisecond, 1300*time.Millisecond, 1700*time.Millisecond),
	'c': siteModel(42.7, 5*time.Second, 890*time.Millisecond, 1200*time.Millisecond),
}))

// ttGira is like ngomaBook, with a longer objective, another rank and more memory.
var ttGira = newSimSite("tt-gira", siteModels("abbbbabbabbabbbaabbaa", map[rune]topo.Model{
	'a': siteModel(65.1, 9*time.Second, 1100*time.Millisecond, 2200*time.Millisecond),
	'b': siteModel(72.7, 9*time.Second, 1200*time.Millisecond, 2400*time.Millisecond),
}))

// hanmaruPayslip has two busy resumable routes; the one with the long objective isn't.
var hanmaruPayslip = newSimSite("hanmaru-payslip", siteModels("abbcbbdbbdaccaabbbabbacdbd", map[rune]topo.Model{
	'a': siteModel(34.3, 2600*time.Millisecond, 280*time.Millisecond, 520*time.Millisecond),
	'b': siteModel(72.7, 5800*time.Millisecond, 400*time.Millisecond, 1200*time.Millisecond),
	'c': siteModel(65.1, 5*time.Second, 380*time.Millisecond, time.Second),
	'd': siteModel(65.5, 5200*time.Millisecond, 380*time.Millisecond, time.Second),
}))

// newSimSite returns the site of the given name with its routes.
func newSimSite(name string, models []topo.Model) simSite {
	site := simSite{models: models}
	var eventInterval, streamsPerSecond float64
	scanRow(rowsOf(simSites, name)[0],
		&site.engines, &site.slots, &site.queue, &site.kvCacheTokens, &site.memoryMB,
		&site.modelsPerEngine, &site.modelsInMemory, &site.modelsOnDisk,
		&site.loadsPerSecond, &eventInterval, &streamsPerSecond)
	site.eventInterval = milliseconds(eventInterval)
	for _, row := range rowsOf(simRoutes, name) {
		site.routes = append(site.routes, newSimRoute(row, streamsPerSecond))
	}
	return site
}

// newSimRoute returns the route of a row at a site with the given number of new streams.
func newSimRoute(row []string, streamsPerSecond float64) simRoute {
	route := simRoute{name: row[0]}
	var ownStreams, objective, gapObjective, timeout, readLeast, readLongest, modelSkew float64
	var firstModel, lastModel int
	scanRow(row[1:],
		&ownStreams, &route.resumable, &route.attempts, &route.priority, &objective, &gapObjective, &timeout,
		&route.events, &route.promptTokens, &readLeast, &readLongest,
		&route.instructions, &route.documents, &route.documentSkew, &firstModel, &lastModel, &modelSkew)
	route.share = ownStreams / streamsPerSecond
	route.objective = milliseconds(objective)
	route.gapObjective = milliseconds(gapObjective)
	route.timeout = milliseconds(timeout)
	route.readTime = [2]time.Duration{milliseconds(readLeast), milliseconds(readLongest)}
	route.weights = popularity(firstModel, lastModel, modelSkew)
	return route
}

// rowsOf returns the rows of a table that begin with a name, without it.
func rowsOf(table, name string) [][]string {
	var rows [][]string
	for line := range strings.Lines(table) {
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] == name {
			rows = append(rows, fields[1:])
		}
	}
	return rows
}

// scanRow stores the fields of a row, of which there must be as many as targets.
func scanRow(row []string, targets ...any) {
	if len(row) != len(targets) {
		panic(fmt.Sprintf("%d fields for %d columns: %v", len(row), len(targets), row))
	}
	for i, target := range targets {
		if _, err := fmt.Sscan(row[i], target); err != nil {
			panic(fmt.Sprintf("column %d of %v: %v", i, row, err))
		}
	}
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
