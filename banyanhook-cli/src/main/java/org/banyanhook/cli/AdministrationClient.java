package org.banyanhook.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Sends commands to the administration ports of entry VMs. Not thread-safe.
 *
 * <p>A command whose outcome is unknown is sent again with the same command id, so that it is not applied twice.
 */
final class AdministrationClient implements AutoCloseable {

    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long RESPONSE_TIMEOUT_SECONDS = 15;
    /** Maximum number of passes over all addresses. */
    private static final int MAXIMUM_ROUNDS = 3;

    private static final long ROUND_DELAY_MILLIS = 500;

    private final HttpClient client = new HttpClient();
    private final JsonMapper mapper = new JsonMapper();
    private final List<String> addresses;
    private final String operatorKey;

    AdministrationClient(List<String> addresses, String operatorKey) {
        this.addresses = List.copyOf(addresses);
        this.operatorKey = operatorKey;
    }

    void start() throws ToolException {
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        try {
            client.start();
        } catch (Exception exception) {
            throw new ToolException(ExitCodes.UNREACHABLE, "the HTTP client did not start: " + exception.getMessage());
        }
    }

    /** Returns the version of the configuration in force on an entry VM. */
    long fetchConfigurationVersion() throws ToolException {
        return send(address -> client.newRequest("http://" + address + "/version"))
                .path("configurationVersion")
                .asLong();
    }

    /**
     * Sends a command until its outcome is known or the last round has failed.
     *
     * @param command the command
     * @param commandId the id of the command, the same for every attempt
     * @param basedOnVersion the configuration version on which the command is based, if it is to be checked
     * @return the answer
     * @throws ToolException if the command was refused or its outcome remained unknown
     */
    JsonNode run(String command, String commandId, OptionalLong basedOnVersion) throws ToolException {
        ObjectNode body = mapper.createObjectNode().put("command", command).put("commandId", commandId);
        basedOnVersion.ifPresent(version -> body.put("basedOnVersion", version));
        return send(address -> client.POST("http://" + address + "/v1/commands")
                .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + operatorKey))
                .body(new StringRequestContent("application/json", body.toString())));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception exception) {
            System.err.println("the HTTP client did not stop cleanly: " + exception.getMessage());
        }
    }

    private JsonNode send(RequestFactory requestFactory) throws ToolException {
        String lastProblem = "no address is given; specify one with --address";
        for (int round = 0; round < MAXIMUM_ROUNDS; round++) {
            for (String address : addresses) {
                try {
                    return execute(address, requestFactory.create(address));
                } catch (UnknownOutcomeException exception) {
                    lastProblem = exception.problem();
                }
            }
            sleepBetweenRounds();
        }
        throw new ToolException(ExitCodes.UNREACHABLE, lastProblem);
    }

    private JsonNode execute(String address, Request request) throws ToolException, UnknownOutcomeException {
        try {
            ContentResponse response =
                    request.timeout(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).send();
            JsonNode answer = mapper.readTree(response.getContentAsString());
            if (response.getStatus() == HttpStatus.OK_200) {
                return answer;
            }
            if (answer.path("execution").asText().equals("unknown")) {
                throw new UnknownOutcomeException(describe(answer));
            }
            throw new ToolException(ExitCodes.REFUSED, describe(answer));
        } catch (JsonProcessingException exception) {
            throw new UnknownOutcomeException(
                    address + " returned an answer that is not JSON; check that the address is an administration port");
        } catch (ExecutionException | TimeoutException exception) {
            throw new UnknownOutcomeException(address + " did not answer (" + exception.getMessage()
                    + "); check the address, or specify another entry VM with --address");
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new ToolException(ExitCodes.UNREACHABLE, "interrupted; the outcome of the command is unknown");
        }
    }

    private static String describe(JsonNode answer) {
        return answer.path("kind").asText() + " (" + answer.path("execution").asText() + "): "
                + answer.path("detail").asText() + " "
                + answer.path("remedy").asText();
    }

    private static void sleepBetweenRounds() throws ToolException {
        try {
            Thread.sleep(ROUND_DELAY_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new ToolException(ExitCodes.UNREACHABLE, "interrupted; the outcome of the command is unknown");
        }
    }

    /** Creates a request to an address. */
    @FunctionalInterface
    private interface RequestFactory {
        Request create(String address);
    }

    /** Signals that the outcome of a command is unknown after an attempt. */
    private static final class UnknownOutcomeException extends Exception {
        private static final long serialVersionUID = 1L;

        private final String problem;

        UnknownOutcomeException(String problem) {
            super(problem);
            this.problem = problem;
        }

        String problem() {
            return problem;
        }
    }
}
