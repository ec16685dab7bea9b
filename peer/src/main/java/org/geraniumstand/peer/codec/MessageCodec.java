package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/**
 * Encodes and decodes messages of one type.
 *
 * @param <M> type of the messages
 */
public interface MessageCodec<M extends PeerMessage> {
    /** Returns the number that identifies the message type on the wire; a number is never reused for another type. */
    int number();

    /** Returns the message type. */
    Class<M> type();

    /**
     * Writes the fields of a message as one record.
     *
     * @param out receives the fields
     * @param message the message
     */
    void write(FieldWriter out, M message);

    /**
     * Reads the fields of a message.
     *
     * @param in provides the fields
     */
    M read(FieldReader in);
}
