// The names of prepared statements at backend connections. Names of callers collide, so each connection has its own.
#include "daisyrelay/proxy/proxycore.h"

#include <algorithm>

namespace daisyrelay {

static std::string preparedName(std::uint64_t number)
{
    return "p" + std::to_string(number);
}

// The oldest name makes room for a new one. A RESET would also clear the values, possibly within a transaction.
void ProxyCore::prepareAt(
    BackendConnection &connection, const PreparedStatement &prepared, std::vector<Statement> &out) const
{
    if (connection.prepared.contains(prepared)) {
        return;
    }
    if (connection.prepared.size() >= timing_.maxPreparedStatements) {
        const auto oldest = std::min_element(connection.prepared.begin(), connection.prepared.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
        Statement deallocate = makeOwnStatement(StatementType::Deallocate);
        deallocate.name = preparedName(oldest->second);
        out.push_back(std::move(deallocate));
        connection.prepared.erase(oldest);
    }
    connection.prepared[prepared] = ++connection.lastPreparedNumber;
    Statement prepare = makeOwnStatement(StatementType::Prepare);
    prepare.name = preparedName(connection.lastPreparedNumber);
    prepare.argument = prepared.shape;
    prepare.preparesWrite = prepared.isWrite;
    out.push_back(std::move(prepare));
}

bool ProxyCore::hasPrepared(const Session &session, const BackendConnection &connection)
{
    const Statement &statement = session.pending->statement;
    return statement.type != StatementType::Execute
        || connection.prepared.contains(session.prepared.at(statement.name));
}

Statement ProxyCore::makePayload(const Session &session, const BackendConnection &connection)
{
    Statement payload = session.pending->statement;
    if (payload.type == StatementType::Execute) {
        payload.name = preparedName(connection.prepared.at(session.prepared.at(payload.name)));
    }
    return payload;
}

// Names count as known once they are sent. A server that has rejected one, or has lost them, is sent new ones.
void ProxyCore::forgetUnknownNames(BackendConnection &connection, const std::vector<BackendResponse> &responses)
{
    for (std::size_t index = 0; index < responses.size(); ++index) {
        const bool isRejected
            = connection.sentTypes[index] == StatementType::Prepare && responses[index].code != ResponseCode::Ok;
        if (isRejected || responses[index].code == ResponseCode::UnknownStatement) {
            metrics_.add("prepared_names_lost_total");
            connection.prepared.clear();
        }
    }
}

} // namespace daisyrelay
