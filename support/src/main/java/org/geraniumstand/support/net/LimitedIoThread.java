package org.geraniumstand.support.net;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on another I/O thread, limits and checks what is read from them, finds what is left unread and can discard
 * what is written to them.
 *
 * <p>Undertow's HTTP client has no limit on a response's head, does not show its bytes, does not tell whether more than a response has arrived and has
 * no way to expect a second response. It opens its connections by way of the I/O thread that it is given, which is the only place
 * to add them. This thread itself is never started.
 */
final class LimitedIoThread extends XnioIoThread {
    private final XnioIoThread delegate;
    private final FramingLimit limit;
    private final AnswerHeadSyntax heads;
    private final WriteSwitch writes;
    private final UnreadInput unread;

    LimitedIoThread(
            XnioIoThread delegate, FramingLimit limit, AnswerHeadSyntax heads, WriteSwitch writes, UnreadInput unread) {
        super(delegate.getWorker(), delegate.getNumber());
        this.delegate = delegate;
        this.limit = limit;
        this.heads = heads;
        this.writes = writes;
        this.unread = unread;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return delegate.openStreamConnection(
                destination,
                connection -> {
                    unread.attach(connection.getSourceChannel());
                    connection
                            .getSourceChannel()
                            .setConduit(new FramingLimitConduit(
                                    connection.getSourceChannel().getConduit(), limit, heads));
                    connection
                            .getSinkChannel()
                            .setConduit(new DiscardingConduit(
                                    connection.getSinkChannel().getConduit(), writes));
                    openListener.handleEvent(connection);
                },
                options);
    }

    @Override
    public void execute(Runnable task) {
        delegate.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long delay, TimeUnit unit) {
        return delegate.executeAfter(task, delay, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long interval, TimeUnit unit) {
        return delegate.executeAtInterval(task, interval, unit);
    }
}
