package org.geraniumstand.peer.codec;

import java.util.Optional;
import org.geraniumstand.outside.relay.RevisionStore.Change;
import org.geraniumstand.peer.PeerMessage;

/** Encodes and decodes {@link PeerMessage.StoreUpdate} messages. */
final class StoreUpdateCodec implements MessageCodec<PeerMessage.StoreUpdate> {
    /**
     * Value of a field in which earlier builds at this protocol level report whether the sender assumes a store outage.
     */
    private static final boolean RESERVED = false;

    @Override
    public int number() {
        return 23;
    }

    @Override
    public Class<PeerMessage.StoreUpdate> type() {
        return PeerMessage.StoreUpdate.class;
    }

    @Override
    public void write(FieldWriter out, PeerMessage.StoreUpdate message) {
        out.fields(5)
                .number(message.afterRevision())
                .number(message.throughRevision())
                .flag(RESERVED)
                .flag(message.incomplete())
                .list(message.changes(), StoreUpdateCodec::writeChange);
    }

    @Override
    public PeerMessage.StoreUpdate read(FieldReader in) {
        long since = in.number();
        long at = in.number();
        in.flag();
        return new PeerMessage.StoreUpdate(since, at, in.flag(), in.list(StoreUpdateCodec::readChange));
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
