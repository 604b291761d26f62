#pragma once
/// Operators of a simulated run: they race each other with equal numbers, resend changes whose
/// answer was lost, read, and wait until a change is in force.

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/commands.hpp"
#include "sim/controller_node.hpp"
#include "sim/deployment.hpp"
#include "sim/directory.hpp"
#include "sim/environment.hpp"

namespace planktray::sim {

struct OperatorOptions {
  Duration interval = std::chrono::milliseconds(1500);  ///< between two rounds of changes
  std::uint32_t racing = 2;   ///< operators that change the same thing with equal numbers
  double lost_answers = 0.2;  ///< share of answers that never reach the operator
};

class Operators {
 public:
  Operators(Environment& environment, Directory& directory, HostId host,
            const Deployment& deployment, OperatorOptions options);

  /// Applies the template and the tenant, then goes on making changes until stop().
  void start();
  void stop() { running_ = false; }
  /// Makes this many changes of a tenant one after another.
  void make_many_changes(std::uint32_t count);
  void drain_machine(const common::MachineName& machine, bool draining);
  void move_some_shard();
  /// One more round of racing changes at once.
  void race_now() { race(); }
  /// Reads everything once more, for the end of a run.
  void read_all();
  bool is_set_up() const { return set_up_; }
  std::uint64_t reads_answered() const { return reads_answered_; }

 private:
  /// One change on its way, until some controller has judged it.
  struct Attempt {
    ownership::ChangeDeclaration change;
    std::string label;  ///< "template/name" or "tenant/name"
    TimePoint first_sent;
    int tries = 0;
    bool settled = false;
    bool then_again = false;  ///< part of many changes
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  void round();
  void race();
  void read(const std::string& label, ownership::DeclarationKind kind, const std::string& name,
            std::function<void(std::uint64_t)> then);
  void send_change(ownership::DeclarationKind kind, const std::string& name, std::uint64_t replaces,
                   const std::string& document, bool then_again);
  void try_change(const AttemptPointer& attempt);
  void settle(const AttemptPointer& attempt, const ownership::ChangeAnswer& answer);
  void wait_in_force(const AttemptPointer& attempt, const ownership::ChangeAnswer& answer,
                     int tries);
  void next_of_many();
  ControllerNode* pick_controller();
  std::string tenant_document(std::uint32_t variant) const;

  Environment& environment_;
  Directory& directory_;
  HostId host_;
  const Deployment& deployment_;
  OperatorOptions options_;
  common::RandomEngine random_;
  bool running_ = false;
  bool set_up_ = false;
  std::uint64_t next_change_ = 1;
  std::uint32_t many_left_ = 0;
  std::uint64_t reads_answered_ = 0;
  std::set<common::MachineName> draining_;
};

}  // namespace planktray::sim
