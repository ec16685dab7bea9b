package org.geraniumstand.entry.relay;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.decisions.relay.ReportContinuity;
import org.geraniumstand.decisions.relay.ReportContinuity.Marker;
import org.geraniumstand.decisions.relay.ReportContinuity.Renewal;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.time.Timestamp;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Expected;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.relay.RevisionStore.Put;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.json.JsonTree;
import org.geraniumstand.support.log.Log;

/** Keeps the marker in the store that tells which windows may be reported after a restoration of the store. */
final class UsageReportGuard {
    private static final Log LOG = Log.of(UsageReportGuard.class);

    /** Key of the marker. */
    static final String KEY = "geraniumstand/era";

    private final RevisionStore store;
    private final ReportContinuity continuity;
    private final String recordPrefix;
    private boolean busy;

    UsageReportGuard(RevisionStore store, ReportContinuity continuity, String recordPrefix) {
        this.store = store;
        this.continuity = continuity;
        this.recordPrefix = recordPrefix;
    }

    /** Reads the marker if this process waits for it, and renews it if this process may do so. */
    void check(Timestamp now) {
        if (busy || !continuity.awaitsMarker()) {
            return;
        }
        busy = true;
        store.read(
                KEY,
                result -> result.fold(
                        item -> {
                            onMarker(item, now);
                            return true;
                        },
                        error -> onFailed("read", error)));
    }

    private boolean onFailed(String step, StoreError error) {
        busy = false;
        LOG.warn("usage-era-unsettled", Field.of("step", step), Field.of("error", error));
        return false;
    }

    private void onMarker(Optional<Item> item, Timestamp now) {
        Marker stored = item.map(UsageReportGuard::parse).orElse(Marker.NONE);
        if (continuity.onMarker(stored)) {
            busy = false;
            LOG.info("usage-era-settled", Field.of("era", stored.era()), Field.of("firstWindow", stored.firstWindow()));
            return;
        }
        Expected expected = new Expected(KEY, item.map(Item::revision).orElse(StoreRevision.NONE));
        Optional<Renewal> renewal = continuity.renewal(stored, now);
        if (renewal.isEmpty()) {
            busy = false;
        } else if (renewal.get().records().isEmpty()) {
            renew(renewal.get(), expected, Map.of());
        } else {
            readRecords(renewal.get(), expected);
        }
    }

    private void readRecords(Renewal renewal, Expected expected) {
        store.list(
                recordPrefix,
                result -> result.fold(
                        listing -> {
                            Map<String, Item> items = new HashMap<>();
                            listing.items().forEach(item -> items.put(item.key(), item));
                            renew(renewal, expected, items);
                            return true;
                        },
                        error -> onFailed("list", error)));
    }

    private void renew(Renewal renewal, Expected expected, Map<String, Item> items) {
        if (renewal.marker().era() != store.era().latest()) {
            onFailed("renew", StoreError.CONFLICT);
            return;
        }
        List<Expected> conditions = new ArrayList<>(List.of(expected));
        List<Put> puts = new ArrayList<>();
        renewal.records().forEach((window, record) -> {
            String key = recordPrefix + window;
            Optional<Item> item = Optional.ofNullable(items.get(key));
            // A delayed write of the earlier era may have replaced the record.
            if (!item.map(Item::value).equals(Optional.of(record))) {
                conditions.add(new Expected(key, item.map(Item::revision).orElse(StoreRevision.NONE)));
                puts.add(new Put(key, record, StoreLease.NONE));
            }
        });
        int rewritten = puts.size();
        puts.add(new Put(KEY, write(renewal.marker()), StoreLease.NONE));
        store.commit(
                new Commit(conditions, puts, List.of()),
                result -> result.fold(
                        revision -> {
                            busy = false;
                            LOG.info(
                                    "usage-era-renewed",
                                    Field.of("era", renewal.marker().era()),
                                    Field.of("firstWindow", renewal.marker().firstWindow()),
                                    Field.of("records", renewal.records().size()),
                                    Field.of("rewritten", rewritten),
                                    Field.of("revision", revision));
                            return true;
                        },
                        error -> onFailed("commit", error)));
    }

    private static String write(Marker marker) {
        return JsonTree.write(JsonTree.object().put("era", marker.era()).put("firstWindow", marker.firstWindow()));
    }

    /** Parses a marker; one that cannot be read counts as that of an earlier era. */
    private static Marker parse(Item item) {
        try {
            JsonNode node = JsonTree.read(item.value());
            if (node.path("era").canConvertToLong() && node.path("firstWindow").canConvertToLong()) {
                return new Marker(
                        node.path("era").asLong(), node.path("firstWindow").asLong());
            }
            LOG.warn("usage-era-unreadable", Field.of("characters", item.value().length()));
        } catch (IOException e) {
            LOG.warn("usage-era-unreadable", Field.of("reason", e.getClass()));
        }
        return Marker.NONE;
    }
}
