package org.geraniumstand.http.caller;

import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.filter.Admission;
import org.geraniumstand.http.order.OrderClaims;
import org.geraniumstand.http.order.OrderGate;
import org.geraniumstand.http.upstream.UpstreamClient;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.xnio.XnioIoThread;

/** Holds the collaborators that all request tasks of a process share. */
record RequestContext(
        ProcessId self, CoreInbox core, UpstreamClient upstream, OrderClaims orders, WaitingCalls waitingCalls) {
    OrderGate gate(RequestId id, Admission admission, XnioIoThread thread, OrderGate.ClaimHandler handler) {
        return new OrderGate(self, id, admission, orders, upstream, thread, handler);
    }
}
