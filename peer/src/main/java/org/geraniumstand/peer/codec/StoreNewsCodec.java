package org.geraniumstand.peer.codec;

import java.util.Optional;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.peer.PeerMessage;

/** Codec of {@link PeerMessage.StoreNews}. */
final class StoreNewsCodec implements MessageCodec<PeerMessage.StoreNews> {
    /** A field that earlier processes of the same protocol level read and write as the sender's belief in an outage. */
    private static final boolean UNUSED = false;

    @Override
    public int number() {
        return 23;
    }

    @Override
    public Class<PeerMessage.StoreNews> type() {
        return PeerMessage.StoreNews.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StoreNews message) {
        out.fields(5)
                .number(message.since())
                .number(message.at())
                .flag(UNUSED)
                .flag(message.withheld())
                .list(message.changes(), StoreNewsCodec::writeChange);
    }

    @Override
    public PeerMessage.StoreNews read(FieldReader in) {
        long since = in.number();
        long at = in.number();
        in.flag();
        return new PeerMessage.StoreNews(since, at, in.flag(), in.list(StoreNewsCodec::readChange));
    }

    private static void writeChange(FieldWriter out, Change change) {
        out.fields(4)
                .text(change.key())
                .flag(change.value().isPresent())
                .text(change.value().orElse(""))
                .number(change.revision());
    }

    private static Change readChange(FieldReader in) {
        String key = in.text();
        boolean present = in.flag();
        String value = in.text();
        return new Change(key, present ? Optional.of(value) : Optional.empty(), in.number());
    }
}
