package org.geraniumstand.proofs.trial;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Generates the requests of a trial: conversations with the model engines, and orders.
 *
 * <p>A conversation starts with the instructions of its team and grows with each turn. The next turn follows after the
 * time that a person takes to read the answer.
 */
public final class Workload {
    /** Number of tokens in a prefix block. */
    public static final int BLOCK_TOKENS = 256;

    /** Time of the first requests; processes become ready only after they have received the list of backend servers. */
    public static final double FIRST_REQUEST_MILLIS = 5_000;

    private static final int INSTRUCTION_BLOCKS = 3;
    private static final int FIRST_BLOCKS = 3;
    private static final int MAX_TURN_BLOCKS = 2;
    private static final int MIN_ANSWER_TOKENS = 40;
    private static final int ANSWER_SPREAD_TOKENS = 120;
    private static final double MIN_READ_MILLIS = 4_000;
    private static final double LAST_TURN_PROBABILITY = 0.2;
    private static final double MODEL_TIMEOUT_MILLIS = 30_000;
    private static final double ORDER_TIMEOUT_MILLIS = 10_000;
    private static final double NOTES_SHARE = 0.2;

    private final TrialSimulation simulation;
    private final Random random;
    private final double[] teamRates;
    private final double untilMillis;
    private long nextBlock = 1;

    private Workload(TrialSimulation simulation, double[] teamRates, double untilMillis) {
        this.simulation = simulation;
        this.random = new Random(simulation.random().nextLong());
        this.teamRates = teamRates.clone();
        this.untilMillis = untilMillis;
    }

    /**
     * Starts sending requests.
     *
     * @param simulation simulation of the trial
     * @param teamRates conversations that each team starts per second
     * @param ordersPerSecond orders per second
     * @param untilMillis time of the last request, in milliseconds since the start
     */
    public static Workload start(
            TrialSimulation simulation, double[] teamRates, double ordersPerSecond, double untilMillis) {
        Workload workload = new Workload(simulation, teamRates, untilMillis);
        simulation.clock().at(FIRST_REQUEST_MILLIS, () -> {
            for (int team = 0; team < teamRates.length; team++) {
                workload.startTeam(team, 0);
            }
            if (ordersPerSecond > 0) {
                workload.order(ordersPerSecond);
            }
        });
        return workload;
    }

    /**
     * Adds conversations of a team from a given time on.
     *
     * @param team number of the team, from 0
     * @param perSecond additional conversations per second
     * @param fromMillis start of the additional conversations, in milliseconds since the start
     */
    public void addConversations(int team, double perSecond, double fromMillis) {
        simulation.clock().at(fromMillis, () -> startTeam(team, perSecond));
    }

    private void startTeam(int team, double override) {
        double rate = override > 0 ? override : teamRates[team];
        if (rate <= 0) {
            return;
        }
        double wait = -Math.log(1 - random.nextDouble()) / rate * 1_000;
        simulation.clock().after(wait, () -> {
            if (simulation.clock().millis() < untilMillis) {
                turn(team, conversation(team), true);
                startTeam(team, override);
            }
        });
    }

    private List<Long> conversation(int team) {
        List<Long> blocks = new ArrayList<>();
        for (int i = 0; i < INSTRUCTION_BLOCKS; i++) {
            blocks.add(-1L - team * 100L - i);
        }
        for (int i = 0; i < FIRST_BLOCKS; i++) {
            blocks.add(nextBlock++);
        }
        return blocks;
    }

    private void turn(int team, List<Long> blocks, boolean first) {
        if (simulation.clock().millis() >= untilMillis) {
            return;
        }
        int answer = MIN_ANSWER_TOKENS + random.nextInt(ANSWER_SPREAD_TOKENS);
        RouteId route = random.nextDouble() < NOTES_SHARE ? Deployments.NOTES : Deployments.CHAT;
        RequestInfo requestInfo = requestInfo(team, Deployments.MODEL, route, true, blocks, MIN_ANSWER_TOKENS + 60);
        Call call = simulation.send(requestInfo, MODEL_TIMEOUT_MILLIS, answer);
        if (!first && random.nextDouble() < LAST_TURN_PROBABILITY) {
            return;
        }
        double readMillis = MIN_READ_MILLIS + random.nextDouble() * MIN_READ_MILLIS;
        simulation.clock().after(readMillis, () -> nextTurn(team, blocks, call));
    }

    private void nextTurn(int team, List<Long> blocks, Call call) {
        if (call.answered()) {
            List<Long> longer = new ArrayList<>(blocks);
            int additionalBlocks = 1 + random.nextInt(MAX_TURN_BLOCKS);
            for (int i = 0; i < additionalBlocks; i++) {
                longer.add(nextBlock++);
            }
            turn(team, longer, false);
        } else if (!call.ended()) {
            simulation.clock().after(MIN_READ_MILLIS, () -> nextTurn(team, blocks, call));
        }
    }

    private void order(double perSecond) {
        double wait = -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
        simulation.clock().after(wait, () -> {
            if (simulation.clock().millis() < untilMillis) {
                int team = random.nextInt(teamRates.length);
                simulation.send(
                        requestInfo(team, Deployments.ORDERS, Deployments.ORDER, false, List.of(), 0),
                        ORDER_TIMEOUT_MILLIS,
                        1);
                order(perSecond);
            }
        });
    }

    private static RequestInfo requestInfo(
            int team, ServiceId service, RouteId route, boolean idempotent, List<Long> blocks, int answer) {
        return new RequestInfo(
                new RequestId("template"),
                Deployments.team(team),
                service,
                route,
                idempotent,
                !blocks.isEmpty(),
                Priority.INTERACTIVE,
                0,
                blocks.size() * BLOCK_TOKENS,
                answer,
                blocks);
    }
}
