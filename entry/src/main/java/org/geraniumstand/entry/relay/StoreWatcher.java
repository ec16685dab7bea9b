package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.relay.EntryNews;
import org.geraniumstand.decisions.relay.NewsLimit;
import org.geraniumstand.decisions.relay.StoreAsking;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.time.Moment;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.FactReader;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.support.log.Log;

/**
 * Follows what others write to the store: reads it whole, then takes in changes, and starts over when it must.
 *
 * <p>Changes come from the store itself or, where there are many processes, from peers that ask it for all.
 */
final class StoreWatcher {
    private static final Log LOG = Log.of(StoreWatcher.class);

    /**
     * Milliseconds between a change and the next call, so that changes that come together cost one call: each server
     * writes its entry about once a second, and changes must be known to all within 2,000.
     */
    private static final long GATHER_MILLIS = 200;

    /** Milliseconds between looks at whether peers still tell the changes. */
    private static final long LOOK_MILLIS = 100;

    /** Milliseconds after which peers are told that nothing changed. */
    private static final long QUIET_MILLIS = 300;

    private final RevisionStore store;
    private final FactReader reader;
    private final Timer timer;
    private final LongSupplier clock;
    private final Listener listener;
    private final String ownKey;
    private final Consumer<Boolean> onOwnKey;
    private final StoreAsking asking;
    private final Map<String, EntryNews.Heard> known = new TreeMap<>();

    /** What this process saw itself while it asks for all, without what peers told. */
    private final Map<String, EntryNews.Heard> seen = new HashMap<>();

    private final StoreReachability reach;
    private final MissingServers missing;

    private Consumer<PeerMessage.StoreNews> onNews = _news -> {};

    /** Revision up to which all changes are known. */
    private long revision;

    /** Revision up to which this process itself saw all changes since it was told; what peers saw does not count. */
    private long seenRevision;

    private boolean read;
    private int peers;

    private long toldRevision;
    private long toldNanos;

    /** Where a change was heard. */
    private enum Source {
        STORE,
        PEER
    }

    /** Told what the store says; all calls come on one thread. */
    interface Listener {
        /** An entry is there or changed. */
        void onFact(StoreFact fact);

        /** An entry was removed, and was held back for some milliseconds as it might have lapsed only. */
        void onRemoved(StoreFact.Removed removed, long heldMillis);

        /** All entries were read; nothing else stands in the store. */
        void onWhole(List<StoreFact> facts);

        /** All changes up to now are known. */
        void onInformed();
    }

    /**
     * Creates a follower that was not started.
     *
     * @param store the store
     * @param reader reads its entries
     * @param timer waits
     * @param clock the monotonic time in nanoseconds
     * @param bounds the times to keep
     * @param listener told what the store says
     * @param ownKey a key of the processes' own whose changes matter
     * @param onOwnKey told whether it is there after a change
     */
    StoreWatcher(
            RevisionStore store,
            FactReader reader,
            Timer timer,
            LongSupplier clock,
            StoreBounds bounds,
            Listener listener,
            String ownKey,
            Consumer<Boolean> onOwnKey) {
        this.ownKey = ownKey;
        this.onOwnKey = onOwnKey;
        this.store = store;
        this.reader = reader;
        this.timer = timer;
        this.clock = clock;
        this.toldNanos = clock.getAsLong();
        this.asking = new StoreAsking(bounds);
        this.reach = new StoreReachability(bounds, clock);
        this.missing = new MissingServers(timer, clock, reach::holdMillis, listener::onRemoved);
        this.listener = listener;
    }

    void start() {
        readAll(new ArrayList<>(reader.prefixes()), new ArrayList<>(), Long.MAX_VALUE);
    }

    /** Sets what tells peers the changes while this process asks for all. */
    void onNews(Consumer<PeerMessage.StoreNews> next) {
        onNews = next;
    }

    /** Takes in whether this process asks for all, and how many other processes it tells then. */
    void onReader(boolean reader, int others) {
        peers = others;
        if (reader && !asking.reader()) {
            seenRevision = revision;
            toldRevision = revision;
            seen.clear();
        }
        asking.onReader(reader);
    }

    /** Takes in changes that a peer saw. */
    void onTold(PeerMessage.StoreNews news) {
        long now = clock.getAsLong();
        if (!read) {
            return;
        }
        reach.onPeerReached();
        boolean missed = news.at() > revision && (news.since() > revision || news.withheld());
        if (missed) {
            asking.onMissed(news.at());
            return;
        }
        asking.onTold(now);
        takeNew(news.changes(), Source.PEER);
        onInformed();
        revision = Math.max(revision, news.at());
    }

    private void readAll(List<String> prefixes, List<Item> items, long from) {
        if (prefixes.isEmpty()) {
            revision = from;
            read = true;
            // Peers learn what changed up to here from the store, as it was not told change by change.
            seenRevision = from;
            toldRevision = from;
            takeAll(items);
            asking.onWhole();
            onInformed();
            watch();
            return;
        }
        String prefix = prefixes.remove(0);
        reach.onAsk(0);
        store.list(prefix, orRestart(listing -> {
            items.addAll(listing.items());
            readAll(prefixes, items, Math.min(from, listing.revision()));
        }));
    }

    private void takeAll(List<Item> items) {
        Set<String> keys = new HashSet<>();
        List<StoreFact> facts = new ArrayList<>();
        seen.clear();
        for (Item item : items) {
            keys.add(item.key());
            EntryNews.Heard heard = heard(read(item.key(), item.value()));
            facts.add(heard.fact());
            known.put(item.key(), heard);
            seen.put(item.key(), heard);
        }
        for (String key : List.copyOf(known.keySet())) {
            if (!keys.contains(key)) {
                remove(key, revision, Source.STORE);
            }
        }
        // A server that is only missing for now stays among the listed ones.
        facts.addAll(missing.entries());
        LOG.info("store-read", Field.of("entries", items.size()), Field.of("missing", facts.size() - items.size()));
        listener.onWhole(facts);
    }

    private void watch() {
        if (!asking.asks(clock.getAsLong())) {
            timer.after(this::watch, LOOK_MILLIS);
            return;
        }
        long since = asking.reader() ? seenRevision : revision;
        boolean wasBehind = asking.behind();
        store.watch("", since, reach.onAsk(asking.watchMillis()), result -> {
            if (result instanceof Result.Ok<RevisionStore.Changes, StoreError> ok) {
                reach.onAnswered();
                asking.onAnswered(ok.held().revision());
                List<Change> mattering =
                        ok.held().changes().stream().filter(this::matters).toList();
                takeNew(mattering, Source.STORE);
                onInformed();
                revision = Math.max(revision, ok.held().revision());
                seenRevision = Math.max(seenRevision, ok.held().revision());
                if (asking.reader()) {
                    tell(mattering.stream().filter(this::isNews).toList());
                }
                if (wasBehind && asking.behind()) {
                    // A peer saw changes that the store does not tell in a watch.
                    LOG.info("store-changes-missed", Field.of("revision", revision));
                    start();
                    return;
                }
                timer.after(this::watch, ok.held().changes().isEmpty() ? 0 : GATHER_MILLIS);
            } else {
                onError(result.error().orElse(StoreError.MALFORMED), this::watch);
            }
        });
    }

    private void onInformed() {
        reach.onInformed();
        listener.onInformed();
    }

    private boolean matters(Change change) {
        return change.key().equals(ownKey) || reader.prefixes().stream().anyMatch(change.key()::startsWith);
    }

    /**
     * Returns whether a change says anything new to peers; servers write their entries again once a second, mostly
     * unchanged. It is compared with what this process saw itself: what a peer told may not have reached all others.
     */
    private boolean isNews(Change change) {
        if (change.value().isEmpty() || change.key().equals(ownKey)) {
            seen.remove(change.key());
            return true;
        }
        EntryNews.Heard heard = heard(reader.read(change.key(), change.value().get()));
        return keepIfNews(seen, change.key(), heard);
    }

    private void tell(List<Change> changes) {
        long now = clock.getAsLong();
        if (changes.isEmpty() && now - toldNanos < QUIET_MILLIS * Moment.NANOS_PER_MILLI) {
            return;
        }
        int size = changes.stream()
                .mapToInt(c -> c.key().length() + c.value().map(String::length).orElse(0))
                .sum();
        boolean large = !NewsLimit.test(size, peers);
        onNews.accept(new PeerMessage.StoreNews(toldRevision, seenRevision, large, large ? List.of() : changes));
        toldRevision = seenRevision;
        toldNanos = now;
    }

    /** Takes in changes but for those that are known already. */
    private void takeNew(List<Change> changes, Source source) {
        long from = revision;
        changes.stream().filter(change -> change.revision() > from).forEach(change -> take(change, source));
    }

    private void take(Change change, Source source) {
        if (change.key().equals(ownKey)) {
            onOwnKey.accept(change.value().isPresent());
            return;
        }
        if (change.value().isEmpty()) {
            remove(change.key(), change.revision(), source);
            return;
        }
        StoreFact fact = read(change.key(), change.value().get());
        if (!keepIfNews(known, change.key(), heard(fact))) {
            return;
        }
        if (fact instanceof StoreFact.Listed listed) {
            missing.onBack(listed.server().id());
        }
        listener.onFact(fact);
    }

    private void remove(String key, long removedAt, Source source) {
        EntryNews.Heard before = known.remove(key);
        StoreFact.Removed removed = reader.removed(key);
        if (removed instanceof StoreFact.Removed.Server server
                && before != null
                && before.fact() instanceof StoreFact.Listed listed
                && missing.keep(server, listed)) {
            LOG.info(
                    "server-missing",
                    Field.of("server", server.server()),
                    Field.of("revision", removedAt),
                    Field.of("source", source),
                    Field.of("informedMillis", reach.informedMillis()),
                    Field.of("holdMillis", reach.holdMillis()));
            return;
        }
        listener.onRemoved(removed, 0);
    }

    private EntryNews.Heard heard(StoreFact fact) {
        return new EntryNews.Heard(fact, clock.getAsLong());
    }

    /** Keeps what an entry says and returns true if it says anything new. */
    private static boolean keepIfNews(Map<String, EntryNews.Heard> entries, String key, EntryNews.Heard next) {
        boolean news = EntryNews.test(entries.get(key), next);
        if (news) {
            entries.put(key, next);
        }
        return news;
    }

    private StoreFact read(String key, String value) {
        StoreFact fact = reader.read(key, value);
        if (fact instanceof StoreFact.Unreadable unreadable) {
            LOG.warn("entry-unreadable", Field.of("entry", key), Field.of("reason", unreadable.reason()));
        } else if (fact instanceof StoreFact.UnreadableServer unreadable) {
            LOG.warn("entry-unreadable", Field.of("entry", key), Field.of("reason", unreadable.reason()));
        }
        return fact;
    }

    private <T> Consumer<Result<T, StoreError>> orRestart(Consumer<T> onValue) {
        return result -> {
            if (result instanceof Result.Ok<T, StoreError> ok) {
                reach.onAnswered();
                onValue.accept(ok.held());
            } else {
                onError(result.error().orElse(StoreError.MALFORMED), this::start);
            }
        };
    }

    private void onError(StoreError error, Runnable again) {
        if (error == StoreError.HISTORY_GONE) {
            LOG.info("store-history-gone");
            start();
            return;
        }
        timer.after(again, reach.onFailed(error));
    }
}
