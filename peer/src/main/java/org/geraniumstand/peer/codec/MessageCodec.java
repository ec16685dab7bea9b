package org.geraniumstand.peer.codec;

import org.geraniumstand.peer.PeerMessage;

/**
 * Writes and reads messages of one type.
 *
 * @param <M> type of the messages
 */
public interface MessageCodec<M extends PeerMessage> {
    /** Returns the number that stands for the type on the wire; it is never given to another type. */
    int number();

    /** Returns the type. */
    Class<M> type();

    /**
     * Writes the fields of a message as one record.
     *
     * @param out where to write
     * @param message the message
     */
    void write(FieldWriter out, M message);

    /**
     * Reads the fields of a message.
     *
     * @param in where to read
     */
    M read(FieldReader in);
}
