// Leadership: a leased key in the state service. Its term is the workers' epoch and is never reused.
#pragma once
#include "state/store_client.h"

namespace hareshore {

inline const std::string kLeaderKey = "leader";
inline const std::string kTermKey = "term";

class Election {
  public:
    Election(Loop& loop, StoreClient& state, std::string label, double spread);
    Task<void> run();

    bool leading() const { return leading_; }
    // Whether the state service has said so within the lease. One that was cut off or stood still may have
    // been followed by another without knowing.
    bool confirmed() const { return leading_ && loop_.now() < confirmed_until_; }
    uint64_t fencing_token() const { return fencing_token_; }  // our term, while leading
    uint64_t mod_revision() const {
        return mod_revision_;
    }  // of the leadership key: the condition of every write
    const std::string& leader() const { return leader_; }  // who is thought to lead; may be empty
    uint64_t known_fencing_token() const { return known_fencing_token_; }  // highest term heard of
    Condition& changed() { return changed_; }

    // Proof that another leads in a later term.
    void deposed(const char* why);
    // A peer says that it leads, or, with an empty label, that it knows of this term.
    void heard(const std::string& label, uint64_t fencing_token);
    // Gives leadership up and stays out of the next elections for a while.
    void resign(Seconds stay_out);
    // This version does not understand what is kept: it neither leads nor stands any more.
    void stop_standing();

  private:
    Task<void> follow();
    Task<void> stand();
    Task<void> keep();
    void pause_longer();

    Loop& loop_;
    StoreClient& state_;
    std::string label_;
    double spread_;  // 0 to 1: this node's place among the candidates
    bool leading_ = false;
    bool resigning_ = false;
    bool standing_stopped_ = false;
    uint64_t fencing_token_ = 0, mod_revision_ = 0, lease_ = 0, known_fencing_token_ = 0;
    std::string leader_;
    Seconds confirmed_until_ = -1;
    Seconds out_until_ = -1;
    Seconds pause_ = 0;
    Condition changed_;
};

}  // namespace hareshore
